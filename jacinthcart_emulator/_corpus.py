"""Deterministic results of the emulated index, which tests can recompute."""

from collections.abc import Iterable
from typing import Any

import orjson
import xxhash

#: Number of hits that one shard returns for any query.
HITS_PER_SHARD = 3
_SCORE_RANGE = 1_000_000


def compute_hits(
    query: Any,
    shard: int,
    index_version: int,
) -> list[dict[str, Any]]:
    """Return the hits of one shard, a pure function of its arguments.

    Each hit is `{id, score, shard, index_version}`, so that a test can
    tell which index version it comes from.
    """
    encoded = orjson.dumps(query, option=orjson.OPT_SORT_KEYS)
    return [
        {
            'id': f'{shard}-{number}',
            'score': _score(encoded, shard, index_version, number),
            'shard': shard,
            'index_version': index_version,
        }
        for number in range(HITS_PER_SHARD)
    ]


def merge_hits(
    hits: Iterable[dict[str, Any]],
    limit: int,
) -> list[dict[str, Any]]:
    """Return the top `limit` hits by descending score, then by id."""
    ranked = sorted(hits, key=lambda hit: (-hit['score'], hit['id']))
    return ranked[:limit]


def _score(encoded: bytes, shard: int, version: int, number: int) -> int:
    label = f'{shard}|{version}|{number}|'.encode()
    return xxhash.xxh64_intdigest(label + encoded) % _SCORE_RANGE
