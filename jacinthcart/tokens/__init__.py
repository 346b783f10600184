"""Token bucket, which limits a rate and permits bursts."""

from jacinthcart.tokens._bucket import TokenBucket

__all__ = ['TokenBucket']
