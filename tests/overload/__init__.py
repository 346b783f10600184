"""Tests of decisions under overload."""
