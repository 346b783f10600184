"""Stand-ins for the platform, searchers and callers of the review's cases."""
