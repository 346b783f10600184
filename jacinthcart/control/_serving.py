"""Monitors when this VM starts and stops serving."""

import anyio

from jacinthcart.control._node import ControlNode
from jacinthcart.telemetry import DecisionLog

_CHECK_INTERVAL_S = 0.1


class ServingMonitor:
    """Logs, records and announces changes of serving and readiness."""

    def __init__(self, node: ControlNode, decisions: DecisionLog) -> None:
        """Create a monitor for a VM that is initially not serving."""
        self._node = node
        self._decisions = decisions
        self._was_serving = False
        self._was_ready = False

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.check()
            await anyio.sleep(_CHECK_INTERVAL_S)

    def check(self) -> None:
        """Compare the state with that of the last check."""
        node = self._node
        is_serving = node.is_serving
        is_ready = node.is_ready
        if is_serving != self._was_serving:
            self._record(is_serving)
            node.state.mark_changed()
        if is_ready != self._was_ready:
            node.dependencies.logger.info('readiness', ready=is_ready)
            node.heartbeats.push()
        self._was_serving = is_serving
        self._was_ready = is_ready

    def _record(self, is_serving: bool) -> None:
        action = 'serving_started' if is_serving else 'serving_stopped'
        reason = self._node.gate.blocker or str(self._node.freshness.reason)
        service_age_s = self._node.freshness.service_age_s
        observation = f'service contact {service_age_s} s ago'
        self._decisions.record(
            action,
            self._node.process.vm_id,
            reason=reason,
            observation=observation,
            setting='fleet/policy isolation_ms',
        )
        self._node.dependencies.logger.warning(action, reason=reason)
