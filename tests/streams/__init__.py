"""Tests of `jacinthcart.streams`."""
