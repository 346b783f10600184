"""A query tier over many shards: entry, gather and control programs."""
