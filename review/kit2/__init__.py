"""Stand-ins for the platform, searchers and consumers of cases 6 to 10."""
