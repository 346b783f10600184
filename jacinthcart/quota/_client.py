"""Client that asks the home VM of a workspace to admit requests."""

import collections
import dataclasses
import random
from typing import Any

import anyio
import pydantic

from jacinthcart.errors import InvalidMessageError
from jacinthcart.fleet import MemberTable
from jacinthcart.network import BaseDatagrams, Endpoint
from jacinthcart.program import Clock
from jacinthcart.quota._home import GrantReport, QuotaHome
from jacinthcart.telemetry import Metrics

_KIND_TAKE = 'take'
_KIND_GRANT = 'grant'
_KIND_REPORT = 'report'
#: Kinds of the datagrams that the client handles.
QUOTA_KINDS = frozenset((_KIND_TAKE, _KIND_GRANT, _KIND_REPORT))
#: Seconds to wait for a home's answer: enough for a round trip between data
#: centres, and short so that a lost datagram does not delay the caller
#: noticeably.
_ANSWER_TIMEOUT_S = 0.03
#: Seconds by which the wait for an answer may end late before this VM counts as
#: paused.
_MAX_DELAY_S = 0.015
#: Number of highest-ranked VMs of a workspace that are asked in turn.
_HOMES_ASKED = 2
#: Longest wait in seconds that a grant message may tell.
_MAX_WAIT_S = 60.0
_RUN_ID_BITS = 48
_SEQ_BITS = 32
_MAX_TOTAL = 1 << 53


@dataclasses.dataclass(frozen=True)
class QuotaDecision:
    """Whether a request is admitted, and which VM decided it."""

    is_granted: bool
    #: Address of the VM that decided, with ` alone` added if this VM could
    #: not reach a home.
    decided_by: str
    #: Rate in requests per second that the VM enforces now: the full rate of
    #: the workspace or the share for the members that the VM can reach. None
    #: if granted.
    rate_per_s: float | None = None
    #: Seconds after which a refused caller may return; 0 if granted or if the
    #: deciding VM doesn't tell.
    retry_after_s: float = 0

    def describe(self) -> str:
        """Return the deciding VM and its rate, for logs."""
        return f'{self.decided_by} grants {self.rate_per_s} a second'


class _Grant(pydantic.BaseModel):
    """Fields of a grant message."""

    granted: int = 0
    #: Rate in requests per second; None if granted.
    rate: float | None = None
    #: Seconds after which a refused caller may return.
    wait: float = pydantic.Field(default=0, ge=0, le=_MAX_WAIT_S)


class _Report(pydantic.BaseModel):
    """Fields of a report message."""

    workspace: str
    run: int
    total: int = pydantic.Field(ge=1, le=_MAX_TOTAL)


class _PendingCall:
    """A take message that waits for its grant message."""

    def __init__(self) -> None:
        """Create a call without an answer."""
        self.answered = anyio.Event()
        self.grant = _Grant()


class QuotaClient:
    """Admits requests within the fleet-wide rate limits of workspaces."""

    def __init__(
        self,
        members: MemberTable,
        home: QuotaHome,
        datagrams: BaseDatagrams,
        port: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the client; `port` is the peer port of all VMs."""
        self._members = members
        self._home = home
        self._datagrams = datagrams
        self._port = port
        self._clock = clock
        self._metrics = metrics
        self._calls_by_seq: dict[int, _PendingCall] = {}
        # A random first number: an answer to a previous process of this VM
        # does not match.
        self._seq = random.getrandbits(_SEQ_BITS)
        self._run_id = random.getrandbits(_RUN_ID_BITS)
        #: Grants that this VM has made in place of homes, by address of the
        #: home and workspace.
        self._granted_for_home: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._unresponsive_until: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )

    async def take(self, workspace: str) -> QuotaDecision:
        """Decide whether to admit one request of the workspace now.

        If no home answers, this VM decides by its own share of the rate.
        """
        own_address = self._members.own.address
        homes = self._members.rank(f'allotment/{workspace}')[:_HOMES_ASKED]
        for address in homes:
            if address == own_address:
                return await self._take_and_report(workspace)
            if self._unresponsive_until[address] > self._clock():
                continue
            decision = await self._ask(address, workspace)
            if decision is not None:
                return decision
        self._metrics.count('allotment', 'home_silent')
        decision = self._take_alone(workspace)
        await self._report_to_home(workspace, decision)
        return decision

    async def handle(self, message: dict[str, Any], source: Endpoint) -> None:
        """Handle a take, grant or report message from a peer.

        A grant without a waiting call is ignored. Raise InvalidMessageError
        for a malformed message.
        """
        if message['kind'] == _KIND_REPORT:
            self._home.charge(_decode_report(message, source))
            return
        seq = message.get('seq')
        if not isinstance(seq, int):
            raise InvalidMessageError('seq is not a number')
        if message['kind'] == _KIND_TAKE:
            workspace = str(message.get('workspace'))
            decision = self._take_as_home(workspace)
            await self._datagrams.send(_encode_grant(seq, decision), source)
            await self._report_to_home(workspace, decision)
            return
        call = self._calls_by_seq.get(seq)
        if call is None:
            return
        try:
            call.grant = _Grant.model_validate(message)
        except pydantic.ValidationError as error:
            raise InvalidMessageError(f'malformed grant: {error}') from error
        call.answered.set()

    def _take_as_home(self, workspace: str) -> QuotaDecision:
        own_address = self._members.own.address
        if self._home.take(workspace, 1):
            return QuotaDecision(is_granted=True, decided_by=own_address)
        rate = self._home.get_rate(workspace)
        return self._refuse(workspace, own_address, rate)

    def _take_alone(self, workspace: str) -> QuotaDecision:
        decided_by = f'{self._members.own.address} alone'
        if self._home.take_local_share(workspace, 1):
            return QuotaDecision(is_granted=True, decided_by=decided_by)
        rate = self._home.get_local_rate(workspace)
        return self._refuse(workspace, decided_by, rate)

    async def _take_and_report(self, workspace: str) -> QuotaDecision:
        decision = self._take_as_home(workspace)
        await self._report_to_home(workspace, decision)
        return decision

    async def _report_to_home(
        self, workspace: str, decision: QuotaDecision
    ) -> None:
        # Another VM may still act as the home: it may be slow rather than
        # lost, or the VM that asked may know other members than this one.
        if not decision.is_granted:
            return
        ranked = self._members.rank(f'allotment/{workspace}')
        own_address = self._members.own.address
        home = ranked[0] if ranked else own_address
        if home == own_address:
            return
        self._metrics.count('allotment', 'granted_for_home')
        self._granted_for_home[home, workspace] += 1
        message = {
            'kind': _KIND_REPORT,
            'workspace': workspace,
            'run': self._run_id,
            'total': self._granted_for_home[home, workspace],
        }
        endpoint = Endpoint.model_construct(address=home, port=self._port)
        await self._datagrams.send(message, endpoint)

    def _refuse(
        self, workspace: str, decided_by: str, rate_per_s: float
    ) -> QuotaDecision:
        return QuotaDecision(
            is_granted=False,
            decided_by=decided_by,
            rate_per_s=rate_per_s,
            retry_after_s=self._home.returns.reserve(workspace, rate_per_s),
        )

    async def _ask(self, address: str, workspace: str) -> QuotaDecision | None:
        self._seq += 1
        seq = self._seq
        call = _PendingCall()
        self._calls_by_seq[seq] = call
        message = {'kind': _KIND_TAKE, 'seq': seq, 'workspace': workspace}
        endpoint = Endpoint.model_construct(address=address, port=self._port)
        try:
            await self._datagrams.send(message, endpoint)
            await self._wait_for_answer(call)
        finally:
            self._calls_by_seq.pop(seq)
        if call.answered.is_set():
            grant = call.grant
            return QuotaDecision(
                grant.granted > 0, address, grant.rate, grant.wait
            )
        self._unresponsive_until[address] = (
            self._clock() + 10 * _ANSWER_TIMEOUT_S
        )
        return None

    async def _wait_for_answer(self, call: _PendingCall) -> None:
        asked_at = self._clock()
        with anyio.move_on_after(_ANSWER_TIMEOUT_S):
            await call.answered.wait()
        waited_s = self._clock() - asked_at
        if waited_s > _ANSWER_TIMEOUT_S + _MAX_DELAY_S:
            # This VM was paused. The answer may have arrived and not been
            # read yet, so it is waited for once more.
            with anyio.move_on_after(_ANSWER_TIMEOUT_S):
                await call.answered.wait()


def _decode_report(message: dict[str, Any], source: Endpoint) -> GrantReport:
    try:
        report = _Report.model_validate(message)
    except pydantic.ValidationError as error:
        raise InvalidMessageError(f'malformed report: {error}') from error
    return GrantReport(
        source.address, report.workspace, report.run, report.total
    )


def _encode_grant(seq: int, decision: QuotaDecision) -> dict[str, Any]:
    reply: dict[str, Any] = {
        'kind': _KIND_GRANT,
        'seq': seq,
        'granted': int(decision.is_granted),
    }
    if decision.rate_per_s is not None:
        reply['rate'] = decision.rate_per_s
        reply['wait'] = round(decision.retry_after_s, 3)
    return reply
