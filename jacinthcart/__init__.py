"""A query tier over many shards.

It exists in two forms. In the first, every VM runs three programs: `entry`
accepts requests from callers, `gather` runs them on searchers, and `control`
provides both with settings and rate limits. In the second, for the users'
platform, every VM runs one process: `platform` starts it and translates the
platform's formats, and `node` composes it.
"""
