"""Token buckets."""

from jacinthcart.tokens._bucket import TokenBucket

__all__ = ['TokenBucket']
