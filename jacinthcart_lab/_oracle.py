"""Checks answers against the emulated index, without the product's merge."""

from jacinthcart.caller import Answer
from jacinthcart.gather import choose_lookup_shard
from jacinthcart.load import AnswerChecker, Arrival
from jacinthcart.settings import RouteKind, Service
from jacinthcart_emulator import compute_hits, merge_hits
from jacinthcart_lab._fleet import Fleet

_HIT_LIMIT = 10


def create_answer_checker(fleet: Fleet) -> AnswerChecker:
    """Return a checker for answers of the fleet's routes."""
    service_by_route = {
        f'{team.name}/{route.name}': Service.model_validate(
            fleet.values[f'teams/{team.name}/services/{route.service}'],
        )
        for team in fleet.teams
        for route in team.routes
    }

    def check_answer(arrival: Arrival, answer: Answer) -> list[str]:
        service = service_by_route[arrival.route.route]
        asked = _compute_asked_shards(arrival, answer, service)
        return _find_discrepancies(arrival, answer, asked)

    return check_answer


def _compute_asked_shards(
    arrival: Arrival,
    answer: Answer,
    service: Service,
) -> set[int]:
    if arrival.route.kind is RouteKind.LOOKUP:
        return {choose_lookup_shard(service, str(arrival.query['id']))}
    # A submit runs on one part; its hits show which one.
    returned_shards = {hit['shard'] for hit in answer.hits}
    return {
        shard
        for part in service.parts_by_name.values()
        for shard in part.shards
        if arrival.route.kind is RouteKind.SEARCH
        or returned_shards & set(part.shards)
    }


def _find_discrepancies(
    arrival: Arrival, answer: Answer, asked: set[int]
) -> list[str]:
    missing = {entry.shard for entry in answer.coverage.missing}
    if answer.coverage.shards_asked != len(asked):
        return [
            f'shards_asked is {answer.coverage.shards_asked}, not {len(asked)}'
        ]
    hits = [
        hit
        for shard in asked - missing
        for hit in compute_hits(
            arrival.query,
            shard,
            answer.snapshot.index_version,
        )
    ]
    if list(answer.hits) != merge_hits(hits, _HIT_LIMIT):
        return ['hits differ from those of the answered shards']
    return []
