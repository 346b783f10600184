"""Experiment `data-centre`: a data centre is taken out of service and back."""

import dataclasses
import time
from typing import Any

from jacinthcart.load import Phase, summarize
from jacinthcart_lab._bench_run import (
    BenchCase,
    BenchFleet,
    ExperimentReport,
    TimedAction,
    describe_violations,
    describe_send_delay,
)

#: Callers request addresses from this VM first, and it ranks itself first.
_PREFERRED_VM = 'vm-1'
_CALM_S = 8
_SHORT_CALM_S = 2
_OUT_S = 10
_SHORT_OUT_S = 4
_RATES = (15.0, 10.0, 5.0)
_POLL_S = 0.05
_MS_PER_S = 1000
_HEADER = (
    'phase',
    'requests',
    'refused or failed %',
    'complete %',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
    'requests to its VMs',
    'requests to its searchers',
    'failures',
)


@dataclasses.dataclass
class _RequestCountPoller:
    """Polls the request counts of the searchers of one data centre."""

    bench: BenchFleet
    searchers: list[str]
    #: Monotonic time in seconds of each sample and the sum of received
    #: requests.
    samples: list[tuple[float, int]] = dataclasses.field(
        default_factory=list,
    )

    def read(self) -> int:
        """Take a sample; return the sum of received requests."""
        received = self.bench.sum_counter('received', self.searchers)
        self.samples.append((time.monotonic(), received))
        return received

    def poll_for(self, duration_s: float) -> None:
        """Take samples periodically for `duration_s`."""
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            self.read()
            time.sleep(_POLL_S)

    def compute_last_change_ms(self) -> float:
        """Return the time from the first sample to the sum's last increase."""
        final = self.samples[-1][1]
        last_change_at = next(
            at for at, count in self.samples if count == final
        )
        return (last_change_at - self.samples[0][0]) * _MS_PER_S


class _DataCentre:
    """A data centre that a setting takes out of service and back."""

    def __init__(self, bench: BenchFleet, name: str, out_s: float) -> None:
        self.poller = _RequestCountPoller(
            bench, bench.list_searchers(data_centre=name)
        )
        #: Sum of requests received by its searchers at each phase boundary.
        self.received: list[int] = []
        self._bench = bench
        self._name = name
        self._out_s = out_s

    @property
    def addresses(self) -> set[str]:
        """IP addresses of the VMs in the data centre."""
        vms_by_id = self._bench.fleet.vms_by_id
        settings = [vm.settings for vm in vms_by_id.values()]
        return {
            one['address']
            for one in settings
            if one['data_centre'] == self._name
        }

    def take_out(self) -> None:
        """Take it out of service and poll its searchers while it is out."""
        self.received.append(self.poller.read())
        self._put('out')
        # Stop polling before `put_back` is called.
        self.poller.poll_for(self._out_s - 0.5)

    def put_back(self) -> None:
        """Return it to service."""
        self.received.append(self.poller.read())
        self._put('in')

    def _put(self, state: str) -> None:
        path = 'fleet/data_centres'
        fleet = self._bench.fleet
        centres: dict[str, Any] = fleet.values[path]
        states = {**centres['state_by_name'], self._name: state}
        fleet.emulators.put({path: {'state_by_name': states}})


def run_data_centre(bench: BenchFleet) -> ExperimentReport:
    """Run a baseline phase, one with the data centre out, one after it."""
    calm_s = bench.options.choose_duration_s(_CALM_S, _SHORT_CALM_S)
    out_s = bench.options.choose_duration_s(_OUT_S, _SHORT_OUT_S)
    preferred_vm = bench.fleet.vms_by_id[_PREFERRED_VM]
    name = preferred_vm.settings['data_centre']
    centre = _DataCentre(bench, name, out_s)
    search = next(one for one in bench.team.routes if one.kind == 'search')
    route = bench.build_route(search.name)
    centre.received.append(centre.poller.read())
    centre.poller.samples.clear()
    case = bench.run(
        'data-centre',
        [
            bench.build_load(workspace, route, rate)
            for workspace, rate in zip(
                bench.team.limits_by_workspace,
                _RATES,
                strict=False,
            )
        ],
        [
            Phase(name='calm', duration_s=calm_s),
            Phase(name='out', duration_s=out_s),
            Phase(name='returned', duration_s=out_s),
        ],
        [
            TimedAction(calm_s, centre.take_out),
            TimedAction(calm_s + out_s, centre.put_back),
        ],
    )
    last_change_ms = centre.poller.compute_last_change_ms()
    centre.received.append(centre.poller.read())
    rows = [
        _build_row(case, centre, phase, index)
        for index, phase in enumerate(('calm', 'out', 'returned'))
    ]
    return ExperimentReport(
        f'data-centre, {bench.team.name}',
        _HEADER,
        rows,
        [
            f'data centre {name}: {len(centre.poller.searchers)} searchers, '
            f'{len(centre.addresses)} of {len(bench.fleet.vms_by_id)} VMs',
            'its searchers received the last request '
            f'{last_change_ms:.0f} ms after the setting was published (read '
            f'every {_POLL_S * _MS_PER_S:.0f} ms)',
            'its entries were sent the last request '
            f'{_compute_last_sent_ms(case, centre):.0f} ms '
            'after the phase began',
            'the calm row counts the requests to searchers in the warm-up too',
            describe_violations([case]),
            describe_send_delay(case),
        ],
    )


def _build_row(
    case: BenchCase,
    centre: _DataCentre,
    phase: str,
    index: int,
) -> list[str]:
    results = case.select(phase)
    statistics = summarize(results)
    to_vms = sum(
        one.address in centre.addresses
        for entry in results
        for one in entry.attempts
    )
    to_searchers = centre.received[index + 1] - centre.received[index]
    return [
        phase,
        str(statistics.requests),
        f'{statistics.refused_percent:.2f}',
        f'{statistics.complete_percent:.2f}',
        f'{statistics.p50_ms:.1f}',
        f'{statistics.p99_ms:.1f}',
        f'{statistics.p999_ms:.1f}',
        str(to_vms),
        str(to_searchers),
        str(statistics.failures_by_outcome or ''),
    ]


def _compute_last_sent_ms(case: BenchCase, centre: _DataCentre) -> float:
    results = case.select('out')
    sent = [
        entry.sent_s
        for entry in results
        if any(one.address in centre.addresses for one in entry.attempts)
    ]
    if not sent:
        return 0
    return (max(sent) - results[0].sent_s) * _MS_PER_S
