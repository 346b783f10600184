"""Tests of the messages without end."""

import random
import time
import unittest
from typing import Any

import anyio
import h11

from jacinthcart_emulator.endless import (
    MIXED,
    REQUEST_FORMS,
    RESPONSE_FORMS,
    EndlessForm,
    FormChoice,
    SharedLink,
)

_UNITS = 200


def _has_end(codec: h11.Connection, received: bytes) -> bool:
    """Return whether a message ends; a malformed one doesn't."""
    codec.receive_data(received)
    try:
        while True:
            event = codec.next_event()
            if isinstance(event, h11.EndOfMessage):
                return True
            if event is h11.NEED_DATA:
                return False
    except h11.RemoteProtocolError:
        return False


class EndlessFormTests(unittest.TestCase):
    """The forms begin as messages and don't end."""

    def test_no_response_ends(self) -> None:
        """Guards against a form that is a complete response."""
        for name, form in RESPONSE_FORMS.items():
            for status in (200, 500):
                with self.subTest(form=name, status=status):
                    begin = form.encode_response(status, (b'X-Id: 1',))
                    self.check(h11.CLIENT, begin, form)

    def test_no_request_ends(self) -> None:
        """Guards against a form that is a complete request."""
        for name, form in REQUEST_FORMS.items():
            if name == 'pipelined':
                continue
            with self.subTest(form=name):
                begin = form.encode_request((b'POST / HTTP/1.1', b'Host: x'))
                self.check(h11.SERVER, begin, form)

    def check(self, role: Any, begin: bytes, form: EndlessForm) -> None:
        """Check the beginning of a message and some units of it."""
        codec = h11.Connection(role)
        if role is h11.CLIENT:
            request = h11.Request(
                method='GET', target='/', headers=[('host', 'x')]
            )
            codec.send(request)
            codec.send(h11.EndOfMessage())
        self.assertFalse(_has_end(codec, begin + form.unit * _UNITS))

    def test_mixed_forms_depend_on_the_seed(self) -> None:
        """Guards against plays that can't be repeated."""
        first, second = (
            FormChoice(RESPONSE_FORMS, MIXED, random.Random(7))
            for _ in range(2)
        )
        drawn = [first.choose() for _ in range(50)]
        self.assertEqual(drawn, [second.choose() for _ in range(50)])
        self.assertGreater(len({one.unit for one in drawn}), 3)

    def test_link_is_shared(self) -> None:
        """Guards against senders that together exceed the bandwidth."""

        async def send_together() -> None:
            link = SharedLink(bytes_per_s=1000)
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(link.reserve, 50)

        begun_at = time.monotonic()
        anyio.run(send_together)
        self.assertGreater(time.monotonic() - begun_at, 0.15)
