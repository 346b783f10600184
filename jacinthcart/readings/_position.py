"""Positions in the history of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A point in the history of the store.

    Positions are totally ordered. Revisions alone are not: a store that comes
    back from an older copy gives some of them out again.
    """

    #: Number of times that the store has come back from an older copy.
    era: int = 0
    #: Revision of the store within the era.
    revision: int = 0

    @property
    def next(self) -> 'Position':
        """The position of the next change in the same era."""
        return Position(self.era, self.revision + 1)

    def __str__(self) -> str:
        """Return the form for logs, such as `2.870`."""
        return f'{self.era}.{self.revision}'


#: Position before all changes.
START = Position()
