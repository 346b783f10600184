"""A store that may be away and come back from a copy some seconds old."""

import base64
import dataclasses
import math
import random
from typing import Any
from urllib.parse import parse_qsl

import anyio

from jacinthcart.errors import NotSentError, OutcomeUnknownError
from jacinthcart.wire import HttpResponse, decode_json, encode_json

OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
EVACUATE_PREFIX = 'op/evacuate/'
SERVER_PREFIX = 'servers/'
#: Age in seconds of the oldest copy from which the store comes back.
MAX_COPY_AGE_S = 10.0
_OK = 200
_GONE = 410
_UNAVAILABLE = 503
_MS_PER_S = 1000
#: Fraction of the calls while away that get no answer; others are refused.
_HANGING_FRACTION = 0.3


@dataclasses.dataclass(frozen=True)
class StoreParameters:
    """How the store answers, apart from its returns."""

    #: Items in a page; small, so that a few items take several pages.
    page_items: int = 6
    #: Longest time in seconds that a page takes after its items are read.
    page_s: float = 0.05
    #: Whether answers have the header `Store-Era`.
    tells_era: bool = True
    #: Fraction of watches whose answer lacks its last event if that is of the
    #: operator, although `at` is the revision of that event.
    short_watch_fraction: float = 0.0
    #: Whether `at` of a page is read after its items, with changes between.
    has_late_at: bool = False


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """The value of a key."""

    revision: int
    content: bytes


@dataclasses.dataclass(frozen=True)
class Event:
    """One change; removed keys have no content."""

    revision: int
    key: str
    content: bytes | None


@dataclasses.dataclass(frozen=True)
class Moment:
    """What the store holds from a time on."""

    at: float
    era: int
    revision: int
    value_by_key: dict[str, StoredValue]
    #: Version of the configuration; 0 without one.
    version: int
    evacuated: frozenset[str]
    #: History, which grows, and how much of it existed at that time.
    events: list[Event]
    event_count: int
    history_from: int


class ModelStore:
    """Keys, one revision counter, watches with history, and returns."""

    def __init__(self, params: StoreParameters, source: random.Random) -> None:
        """Start empty, in era 0."""
        self.params = params
        self.era = 0
        self.revision = 0
        self.value_by_key: dict[str, StoredValue] = {}
        self.is_away = False
        #: Times of the returns.
        self.returned_at: list[float] = []
        #: Every state that the store has had, oldest first.
        self.moments: list[Moment] = []
        #: Times of all calls.
        self.called_at: list[float] = []
        self._events: list[Event] = []
        #: Revision from which on the history is available.
        self._history_from = 0
        self._random = source
        self._changed = anyio.Event()
        self._returns = 0
        self._leaves_watches_hanging = False
        self._record()

    def put(self, key: str, content: bytes | None) -> int:
        """Write or remove a key; raise OutcomeUnknownError while away."""
        if self.is_away:
            raise OutcomeUnknownError('store is away')
        self.revision += 1
        if content is None:
            self.value_by_key.pop(key, None)
        else:
            self.value_by_key[key] = StoredValue(self.revision, content)
        self._events.append(Event(self.revision, key, content))
        self._record()
        self._wake()
        return self.revision

    def forget_history(self) -> None:
        """Discard the history, as the store may at any time."""
        self._history_from = self.revision
        self._events = []

    def leave(self, *, leaves_watches_hanging: bool) -> None:
        """Stop to answer; waiting watches are cut or left hanging."""
        self.is_away = True
        self._leaves_watches_hanging = leaves_watches_hanging
        self._returns += 1
        self._wake()

    def come_back(self, copy_age_s: float, *, keeps_history: bool) -> None:
        """Answer again, with a copy from `copy_age_s` before."""
        copied_at = anyio.current_time() - min(copy_age_s, MAX_COPY_AGE_S)
        copy = self.find_moment(copied_at)
        self.era += 1
        self.revision = copy.revision
        self.value_by_key = dict(copy.value_by_key)
        self._events = copy.events[: copy.event_count]
        self._history_from = copy.history_from
        if not keeps_history:
            self.forget_history()
        self.is_away = False
        self.returned_at.append(anyio.current_time())
        self._record()
        self._wake()

    def find_moment(self, at: float) -> Moment:
        """Return what the store held at a time."""
        found = self.moments[0]
        for moment in reversed(self.moments):
            if moment.at <= at:
                return moment
        return found

    def list_moments(self, since: float) -> list[Moment]:
        """Return what the store held from a time until now."""
        found = []
        for moment in reversed(self.moments):
            found.append(moment)
            if moment.at <= since:
                break
        return found

    async def answer(self, target: str) -> HttpResponse:
        """Answer a call; raise NotSentError or OutcomeUnknownError."""
        self.called_at.append(anyio.current_time())
        if self.is_away:
            await self._fail_while_away()
        path, _, text = target.partition('?')
        query = dict(parse_qsl(text))
        if path.endswith('kv-range'):
            return await self._answer_range(query)
        return await self._answer_watch(query)

    def reject(self) -> HttpResponse:
        """Reject a call."""
        self.called_at.append(anyio.current_time())
        return self._create_response(_UNAVAILABLE, {})

    async def _fail_while_away(self) -> None:
        if self._random.random() < _HANGING_FRACTION:
            await anyio.sleep_forever()
        raise NotSentError('connection refused')

    async def _answer_range(self, query: dict[str, str]) -> HttpResponse:
        revision, era = self.revision, self.era
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self.value_by_key
            if key.startswith(prefix) and key > after
        )
        page = keys[: self.params.page_items]
        items = [
            _describe_event(
                Event(
                    self.value_by_key[key].revision,
                    key,
                    self.value_by_key[key].content,
                )
            )
            for key in page
        ]
        await anyio.sleep(self.params.page_s * self._random.random())
        if self.is_away or self.era != era:
            raise OutcomeUnknownError('connection reset')
        if self.params.has_late_at:
            revision = self.revision
        body = {
            'items': items,
            'has_more': len(keys) > len(page),
            'at': revision,
        }
        return self._create_response(_OK, body)

    async def _answer_watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query['after'])
        returns = self._returns
        wait_s = int(query['wait_ms']) / _MS_PER_S
        if after > self.revision or after < self._history_from:
            return self._create_response(_GONE, {'error': 'compacted'})
        events = self._list_events(after, query.get('prefix', ''))
        with anyio.move_on_after(wait_s):
            while not events:
                await self._changed.wait()
                if self._returns != returns:
                    break
                events = self._list_events(after, query.get('prefix', ''))
        if self._returns != returns:
            if self._leaves_watches_hanging:
                await anyio.sleep_forever()
            raise OutcomeUnknownError('connection reset')
        body = {
            'events': [_describe_event(one) for one in self._shorten(events)],
            'at': self.revision,
        }
        return self._create_response(_OK, body)

    def _shorten(self, events: list[Event]) -> list[Event]:
        is_short = self._random.random() < self.params.short_watch_fraction
        if is_short and events and events[-1].key.startswith(OPERATOR_PREFIX):
            return events[:-1]
        return events

    def _list_events(self, after: int, prefix: str) -> list[Event]:
        return [
            one
            for one in self._events
            if one.revision > after and one.key.startswith(prefix)
        ]

    def _create_response(
        self, status: int, body: dict[str, Any]
    ) -> HttpResponse:
        headers = {}
        if self.params.tells_era:
            headers[b'store-era'] = b'%d' % self.era
        return HttpResponse(status, headers, encode_json(body))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _record(self) -> None:
        config = self.value_by_key.get(CONFIG_KEY)
        document = decode_json(config.content) if config else {}
        self.moments.append(
            Moment(
                anyio.current_time() if self.moments else -math.inf,
                self.era,
                self.revision,
                dict(self.value_by_key),
                document.get('version', 0),
                frozenset(
                    key.removeprefix(EVACUATE_PREFIX)
                    for key in self.value_by_key
                    if key.startswith(EVACUATE_PREFIX)
                ),
                self._events,
                len(self._events),
                self._history_from,
            )
        )


def _describe_event(event: Event) -> dict[str, Any]:
    described: dict[str, Any] = {'key': event.key, 'revision': event.revision}
    if event.content is None:
        return {**described, 'removed': True}
    return {**described, 'value': base64.b64encode(event.content).decode()}
