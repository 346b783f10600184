"""Counts the HTTP body bytes of an ASGI application."""

from typing import Any

from jacinthcart.telemetry import Metrics
from jacinthcart.wire import AsgiApplication


class HttpByteCounter:
    """ASGI middleware that counts body bytes in both directions."""

    def __init__(
        self,
        application: AsgiApplication,
        metrics: Metrics,
    ) -> None:
        """Wrap `application`."""
        self._application = application
        self._metrics = metrics

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Run the wrapped application."""

        async def count_received() -> Any:
            message = await receive()
            self._count('http_received', message)
            return message

        async def count_sent(message: Any) -> None:
            self._count('http_sent', message)
            await send(message)

        await self._application(scope, count_received, count_sent)

    def _count(self, name: str, message: Any) -> None:
        body = message.get('body', b'')
        self._metrics.count('bytes', name, amount=len(body))
