"""Tests of the log lines about requests."""

import unittest

import logbook

from jacinthcart.catalogue import CatalogueState
from jacinthcart.errors import Ran, RefusalCode, RefusalError
from jacinthcart.node._request_log import RequestLog
from jacinthcart.readings import FreshnessLease, ItemTable, Position
from jacinthcart.telemetry import Metrics, create_logger
from tests.support import ManualClock, create_request


class RequestLogTests(unittest.TestCase):
    """Lines about requests show the state of the VM."""

    def test_refusal_shows_the_revision_of_the_copy(self) -> None:
        """Guards against a refusal by an old copy that seems current."""
        clock = ManualClock()
        logger = create_logger('test')
        table = ItemTable()
        table.mark_complete_to(Position(0, 7))
        log = RequestLog(
            CatalogueState(clock, logger),
            table,
            FreshnessLease(clock),
            clock,
            logger,
            Metrics(),
        )
        refusal = RefusalError(RefusalCode.NOT_READY, Ran.NOT_RUN)
        with logbook.TestHandler() as handler:
            log.log_refusal(create_request(clock()), refusal)
        fields = handler.records[0].extra['fields']
        self.assertEqual(fields.get('position'), '0.7')
