"""Tables of slots, whose generations keep a stale token from reaching a slot's next item."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")

# The low bits of a token are the slot's index, the others its generation.
INDEX_BITS = 20
_INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[Item]):
    """Items under tokens: the index of the slot and the generation of its present item."""

    def __init__(self) -> None:
        self._items: list[Item | None] = []
        self._generations: list[int] = []
        self._free_indexes: list[int] = []

    def __len__(self) -> int:
        """Count the items held."""
        return len(self._items) - len(self._free_indexes)

    def add(self, item: Item) -> int:
        """Add an item.

        Returns:
            Its token.

        Raises:
            OverflowError: All indexes are in use.
        """
        if self._free_indexes:
            index = self._free_indexes.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            if index > _INDEX_MASK:
                raise OverflowError("the table of slots is full")
            self._items.append(item)
            self._generations.append(1)
        return self._generations[index] << INDEX_BITS | index

    def get(self, token: int) -> Item | None:
        """Return the item, or None if its slot has been freed or reused since."""
        index = token & _INDEX_MASK
        if index >= len(self._items) or self._generations[index] != token >> INDEX_BITS:
            return None
        return self._items[index]

    def items(self) -> Iterator[tuple[int, Item]]:
        """Yield the items held, under their tokens."""
        for index, item in enumerate(self._items):
            if item is not None:
                yield self._generations[index] << INDEX_BITS | index, item

    def remove(self, token: int) -> Item | None:
        """Free the slot and return its item; a stale token frees nothing."""
        item = self.get(token)
        if item is not None:
            index = token & _INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free_indexes.append(index)
        return item
