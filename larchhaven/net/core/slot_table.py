"""Slot tables, whose tokens become stale when their slots are freed."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")

# The low bits of a token are the index of the slot, the other bits its generation.
INDEX_BITS = 20
_INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable(Generic[Item]):
    """Holds items under tokens, which combine the index of a slot with its generation."""

    def __init__(self) -> None:
        self._items: list[Item | None] = []
        self._generations: list[int] = []
        self._free_indexes: list[int] = []

    def __len__(self) -> int:
        """Return the number of items held."""
        return len(self._items) - len(self._free_indexes)

    def add(self, item: Item) -> int:
        """Add an item.

        Returns:
            The token of the item.

        Raises:
            OverflowError: All slots are in use.
        """
        if self._free_indexes:
            index = self._free_indexes.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            if index > _INDEX_MASK:
                raise OverflowError(f"slot table is full: all {index} slots are in use")
            self._items.append(item)
            self._generations.append(1)
        return self._generations[index] << INDEX_BITS | index

    def get(self, token: int) -> Item | None:
        """Return the item of a token; None if its slot has since been freed or reused."""
        index = token & _INDEX_MASK
        if index >= len(self._items) or self._generations[index] != token >> INDEX_BITS:
            return None
        return self._items[index]

    def items(self) -> Iterator[tuple[int, Item]]:
        """Yield each token with its item."""
        for index, item in enumerate(self._items):
            if item is not None:
                yield self._generations[index] << INDEX_BITS | index, item

    def remove(self, token: int) -> Item | None:
        """Free the slot of a token and return its item; return None for a stale token."""
        item = self.get(token)
        if item is not None:
            index = token & _INDEX_MASK
            self._items[index] = None
            self._generations[index] += 1
            self._free_indexes.append(index)
        return item
