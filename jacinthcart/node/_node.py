"""Composition of the parts of one VM's process."""

import dataclasses
import random
import time
from typing import Any

import anyio
from anyio.abc import TaskGroup

from jacinthcart.catalogue import CatalogueState, FrontLimits
from jacinthcart.directory import (
    DirectoryParameters,
    ServingShares,
    estimate_capacity,
)
from jacinthcart.errors import InvalidMessageError, RefusalError
from jacinthcart.fleet import (
    READERS_KEY,
    FleetGossip,
    GossipParameters,
    MemberParameters,
    MemberRecord,
    MemberState,
    MemberTable,
    compute_interval_factor,
)
from jacinthcart.network import DatagramEndpoint, Endpoint
from jacinthcart.node._memory import MemoryBounds
from jacinthcart.node._request_log import RequestLog
from jacinthcart.node._settings import NodeSettings
from jacinthcart.overload import create_overload_control
from jacinthcart.program import Clock, read_boot_clock
from jacinthcart.quota import (
    QUOTA_KINDS,
    QuotaClient,
    QuotaHome,
    QuotaParameters,
)
from jacinthcart.readings import (
    BaseContentVersions,
    BaseStore,
    FreshnessLease,
    ItemTable,
    ReaderParameters,
    ReaderRole,
    StoreReader,
    TablePuller,
)
from jacinthcart.routing import (
    BaseSearcherCodec,
    BudgetParameters,
    CallerRequest,
    ExtraSendBudget,
    HealthTracker,
    QuantileTracker,
    SearcherClient,
    SearcherPools,
    create_routing_table,
)
from jacinthcart.serving import (
    Admission,
    AdmissionParameters,
    MergedAnswer,
    RequestServer,
    ServedAnswer,
    ServingParameters,
    Shutdown,
)
from jacinthcart.telemetry import Metrics, create_logger

#: Limits in force until a configuration is known.
_DEFAULT_LIMITS = FrontLimits()
#: Fraction of the bound on revoked keys for which a freshness proof is
#: valid; the rest covers the time until the request reaches the searcher.
_KEY_LEASE_FRACTION = 0.85
#: Fraction of the bound on configurations for which a proof allows an unknown
#: route or key to be denied; with an older proof it may be a new one.
_DENIAL_LEASE_FRACTION = 0.8
_DIRECTORY_TTL_S = 2.0
_EXPIRY_INTERVAL_S = 0.5
#: Seconds for which items that the store came back without are kept for peers
#: that start: as long as evacuations stay in force without their key.
_MISSING_RETENTION_S = 30.0


class Node:
    """Owns all components that run on one VM."""

    def __init__(
        self,
        settings: NodeSettings,
        store: BaseStore,
        codec: BaseSearcherCodec,
        *,
        proof_prefix: str,
        versions: BaseContentVersions | None = None,
        clock: Clock = read_boot_clock,
        random_source: random.Random | None = None,
    ) -> None:
        """Create the components; `start` starts their tasks."""
        source = random_source or random.Random()
        bounds = settings.bounds
        self.settings = settings
        self.clock = clock
        self.logger = create_logger(settings.vm_id)
        self.metrics = Metrics()
        self._memory_bounds = MemoryBounds(settings.memory_bytes)
        self.caller_memory = self._memory_bounds.create_caller_memory(
            clock, self.metrics, self.logger
        )
        self.table = ItemTable(proof_prefix, versions)
        self.lease = FreshnessLease(clock)
        self.catalogue_state = CatalogueState(clock, self.logger)
        self.lease.listeners.append(self.catalogue_state.record_proof)
        incarnation = time.time_ns() // 1_000_000
        self.members = MemberTable(
            MemberRecord(
                address=settings.address,
                data_centre=settings.data_centre,
                incarnation=incarnation,
                state=MemberState.ALIVE,
                capacity=estimate_capacity(
                    settings.cores,
                    settings.link_mbps,
                ),
            ),
            clock,
            self.logger,
            MemberParameters(),
        )
        self.directory_params = DirectoryParameters(
            ttl_s=min(_DIRECTORY_TTL_S, bounds.directory_ttl_s),
        )
        self._request_log = RequestLog(
            self.catalogue_state,
            self.table,
            self.lease,
            clock,
            self.logger,
            self.metrics,
        )
        self._store = store
        self._is_stopping = False
        self._datagrams = DatagramEndpoint(
            Endpoint(address=settings.address, port=settings.peer_port),
            self.metrics,
            clock,
        )
        self._gossip = FleetGossip(
            self.members,
            self._datagrams,
            TablePuller(
                self.table,
                self.lease,
                self.logger,
                self.metrics,
                self._memory_bounds.max_table_bytes,
            ),
            seeds=settings.seeds,
            port=settings.peer_port,
            random_source=source,
            params=GossipParameters(),
        )
        self._reader = StoreReader(
            store,
            self.table,
            self.lease,
            ReaderRole(
                lambda: self.members.compute_rank(READERS_KEY),
                lambda: compute_interval_factor(self.members),
                settings.address in settings.seeds,
            ),
            params=ReaderParameters(proof_prefix=proof_prefix),
            logger=self.logger,
            metrics=self.metrics,
        )
        self._create_serving(codec, source)

    @property
    def is_ready(self) -> bool:
        """Whether this VM accepts callers."""
        return (
            self.catalogue_state.catalogue is not None and not self._is_stopping
        )

    @property
    def reads_store(self) -> bool:
        """Whether this VM currently reads the platform's store."""
        return self._reader.must_read()

    def list_cold_searchers(self) -> list[str]:
        """Return the ids of searchers that are still in their cold start."""
        return sorted(
            searcher.searcher_id
            for searcher in self.catalogue_state.searchers_by_id.values()
            if self._searcher_client.table.is_cold(searcher)
        )

    def describe_quotas(self) -> dict[str, dict[str, Any]]:
        """Return the quota buckets of the workspaces whose home is this VM."""
        return self._home.describe()

    async def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks; raise OSError if a port is in use."""
        self._memory_bounds.bound_responses()
        await self._datagrams.start()
        tasks.start_soon(self._datagrams.run, self._handle_datagram)
        tasks.start_soon(self._gossip.run)
        tasks.start_soon(self._reader.run)
        tasks.start_soon(self._searcher_client.run)
        tasks.start_soon(self._expire_searchers)
        tasks.start_soon(self.diagnostics.run)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings.

        Changed seeds take effect immediately, the grace period at the next
        shutdown. Most other values are used only when the process starts.
        """
        changed = sorted(
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name)
            != getattr(self.settings, field.name)
        )
        self.logger.info('settings changed', fields=changed)
        self.settings = settings
        self._gossip.anti_entropy.seeds = settings.seeds

    async def leave(self) -> None:
        """Announce to callers and peers that this VM shuts down."""
        self._is_stopping = True
        self._shutdown.begin(self.settings.bounds.stop_s)
        self.members.leave()
        await self._gossip.announce()

    async def close(self) -> None:
        """Close all outgoing connections and the datagram socket."""
        await self._pools.close()
        await self._store.close()
        await self._datagrams.close()

    def get_front_limits(self) -> FrontLimits:
        """Return the limits on callers' requests in force."""
        catalogue = self.catalogue_state.catalogue
        return catalogue.limits if catalogue else _DEFAULT_LIMITS

    def log_invalid_request(self, detail: str) -> None:
        """Count and log a request that cannot be decoded."""
        self.metrics.count('request', 'invalid')
        self.logger.warning(
            'request can not be read',
            limit_key='invalid_request',
            error=detail,
        )

    async def serve(
        self,
        request: CallerRequest,
    ) -> ServedAnswer | MergedAnswer:
        """Serve a request; raise RefusalError if it is refused."""
        try:
            admitted = await self._admission.admit(request)
            answer = await self._server.serve(request, admitted)
        except RefusalError as refusal:
            self._request_log.log_refusal(request, refusal)
            raise
        except BaseException:
            # Usually a cancellation, because the caller disconnected.
            self._request_log.log_caller_left(request)
            raise
        self._request_log.log_answer(request, admitted, answer)
        return answer

    def _create_serving(
        self,
        codec: BaseSearcherCodec,
        source: random.Random,
    ) -> None:
        bounds = self.settings.bounds
        clock = self.clock
        latencies = QuantileTracker()
        self._shutdown = Shutdown(clock, latencies)
        shares = ServingShares(self.members, self.directory_params)
        self._home = QuotaHome(
            self.catalogue_state,
            self.members,
            clock,
            self.metrics,
            QuotaParameters(),
        )
        self._quota = QuotaClient(
            self.members,
            self._home,
            self._datagrams,
            self.settings.peer_port,
            clock,
            self.metrics,
        )
        self._admission = Admission(
            self.catalogue_state,
            self.lease,
            self._quota,
            self._shutdown,
            AdmissionParameters(
                key_lease_s=bounds.key_s * _KEY_LEASE_FRACTION,
                denial_lease_s=bounds.settings_s * _DENIAL_LEASE_FRACTION,
            ),
        )
        health_tracker = HealthTracker(clock)
        self._pools = SearcherPools(
            codec,
            clock,
            self._memory_bounds.create_connection_parameters(),
            shares.compute_own_share,
        )
        self._searcher_client = SearcherClient(
            self._pools,
            create_routing_table(
                self.catalogue_state,
                self.members,
                health_tracker,
                clock,
                source,
                shares.rank_advertised,
                shares.compute_own_share,
            ),
            health_tracker,
            latencies,
            codec,
            clock,
            self.metrics,
            self.logger,
        )
        self.diagnostics = self._memory_bounds.create_diagnostics(
            self.caller_memory,
            self._pools,
            self._searcher_client.traffic,
            clock,
            self.metrics,
            self.logger,
        )
        self._server = RequestServer(
            self._searcher_client,
            ExtraSendBudget(
                BudgetParameters(
                    bounds.extra_ratio,
                    bounds.extra_slack,
                    bounds.extra_window_s,
                ),
                shares.compute_own_share,
                clock,
            ),
            self._admission,
            self._shutdown,
            source,
            ServingParameters(),
            create_overload_control(
                self._searcher_client,
                source,
                self.settings.overload_mode,
                self.metrics,
                self.logger,
            ),
        )
        self.explainer = self._server.explainer

    async def _handle_datagram(
        self,
        message: dict[str, Any],
        source: Endpoint,
        received_at: float,
    ) -> None:
        kind = message.get('kind')
        if kind in QUOTA_KINDS:
            await self._quota.handle(message, source)
        elif kind is None:
            raise InvalidMessageError('datagram has no kind')
        else:
            await self._gossip.handle(message, source)

    async def _expire_searchers(self) -> None:
        era = 0
        era_began_at = self.clock()
        while True:
            await anyio.sleep(_EXPIRY_INTERVAL_S)
            if self.table.complete_to.era != era:
                era = self.table.complete_to.era
                era_began_at = self.clock()
            if self.clock() - era_began_at > _MISSING_RETENTION_S:
                self.table.forget_missing()
            self.catalogue_state.remove_lapsed()
            self.catalogue_state.accept_earlier_processes()
            self.diagnostics.traffic.retain(
                self.catalogue_state.searchers_by_id
            )
