"""Decodes an answer of the command channel while it arrives, in parts of a bounded size.

An answer may hold all that a front end has missed, megabytes in a large fleet. Its text is dropped as it is read, and
equal texts of its entries are kept once.
"""

from __future__ import annotations

from oakcroft.platformwire.command_channel import (
    MAX_ANSWER_MEMBERS,
    AnswerTooLargeError,
    ChannelError,
    ListChange,
    NodeMember,
    parse_member,
    parse_whole_number,
    require_boolean,
)
from oakcroft.platformwire.json_reader import JsonError, JsonReader, Reading

Answer = tuple[int, list[ListChange]]


class AnswerDecoder:
    """Turns the bytes of one answer into the cursor of its last event and its events."""

    def __init__(self) -> None:
        """Starts without data."""
        self.answer: Answer | None = None
        """Set once the whole answer has been decoded."""
        self._reader = JsonReader()
        self._reading = self._read_answer()
        self._members_left = 0
        self._changes = list[ListChange]()
        self._member_count = 0
        self._kept_texts = dict[str, str]()
        self._kept_addresses = dict[tuple[str, int], tuple[str, int]]()

    def feed(self, data: bytes) -> None:
        """Adds received bytes; raises ChannelError if they are not valid."""
        try:
            self._reader.feed(data)
        except JsonError as error:
            raise ChannelError(str(error)) from error

    def finish(self) -> None:
        """Marks the end of the answer; `advance` may have to be called still."""
        self._reader.finish()

    def advance(self, max_members: int) -> bool:
        """Decodes at most so many entries; returns whether there may be more to decode in what has arrived.

        Raises ChannelError if the answer is invalid, and AnswerTooLargeError if it has too many entries.
        """
        self._members_left = max_members
        try:
            next(self._reading)
        except StopIteration as end:
            self.answer = end.value
            return False
        except JsonError as error:
            raise ChannelError(str(error)) from error
        return self._members_left <= 0

    def _read_answer(self) -> Reading[Answer]:
        """Reads the answer."""
        reader = self._reader
        cursor: object = None
        has_events = False
        yield from reader.expect("{")
        is_first = True
        while (key := (yield from reader.next_key(is_first=is_first))) is not None:
            is_first = False
            if key == "cmds":
                has_events = True
                yield from self._read_events()
            elif key == "cursor":
                cursor = yield from reader.value()
            else:
                yield from reader.value()
        if (yield from reader.peek()):
            raise ChannelError("text after the answer")
        if not has_events:
            raise ChannelError("the list of events is missing")
        return parse_whole_number(cursor, "cursor"), self._changes

    def _read_events(self) -> Reading[None]:
        """Reads the array of events."""
        yield from self._reader.expect("[")
        is_first = True
        while (yield from self._reader.next_element(is_first=is_first)):
            is_first = False
            yield from self._read_event()

    def _read_event(self) -> Reading[None]:
        """Reads one event; drops those that do not concern nodes."""
        reader = self._reader
        cursor: object = None
        nodes: tuple[bool, list[NodeMember]] | None = None
        yield from reader.expect("{")
        is_first = True
        while (key := (yield from reader.next_key(is_first=is_first))) is not None:
            is_first = False
            if key == "nodes":
                nodes = yield from self._read_nodes()
            elif key == "cursor":
                cursor = yield from reader.value()
            else:
                yield from reader.value()
        if nodes is not None:
            is_complete, members = nodes
            self._changes.append(ListChange(parse_whole_number(cursor, "cursor"), is_complete, members))

    def _read_nodes(self) -> Reading[tuple[bool, list[NodeMember]] | None]:
        """Reads the nodes of an event; None for null."""
        reader = self._reader
        if (yield from reader.peek()) == "n":
            if (yield from reader.value()) is not None:
                raise ChannelError("the nodes of an event are not a list")
            return None
        is_complete: object = False
        members: list[NodeMember] | None = None
        yield from reader.expect("{")
        is_first = True
        while (key := (yield from reader.next_key(is_first=is_first))) is not None:
            is_first = False
            if key == "members":
                members = yield from self._read_members()
            elif key == "complete":
                is_complete = yield from reader.value()
            else:
                yield from reader.value()
        if members is None:
            raise ChannelError("the nodes of an event are not a list")
        return require_boolean(is_complete, "complete"), members

    def _read_members(self) -> Reading[list[NodeMember]]:
        """Reads the array of nodes of an event, and yields after as many as may be decoded at once."""
        members = list[NodeMember]()
        yield from self._reader.expect("[")
        is_first = True
        while (yield from self._reader.next_element(is_first=is_first)):
            is_first = False
            raw_member = yield from self._reader.value()
            self._make_room()
            members.append(self._keep_texts_once(parse_member(raw_member)))
            self._member_count += 1
            self._members_left -= 1
            if self._members_left <= 0:
                yield
        return members

    def _make_room(self) -> None:
        """Drops the events before the last whole list when there are too many entries, as it says what they said.

        Raises AnswerTooLargeError if that makes no room.
        """
        if self._member_count < MAX_ANSWER_MEMBERS:
            return
        last_complete = max(
            (index for index, change in enumerate(self._changes) if change.is_complete), default=0
        )
        dropped = sum(len(change.members) for change in self._changes[:last_complete])
        if not dropped:
            raise AnswerTooLargeError(f"the answer has over {MAX_ANSWER_MEMBERS} entries")
        del self._changes[:last_complete]
        self._member_count -= dropped

    def _keep_texts_once(self, member: NodeMember) -> NodeMember:
        """The same entry with texts that are shared with earlier entries."""
        keep = self._kept_texts.setdefault
        return member._replace(
            name=keep(member.name, member.name),
            address=self._kept_addresses.setdefault(member.address, member.address),
            zone=keep(member.zone, member.zone),
            kind=keep(member.kind, member.kind),
        )


def decode_answer(body: bytes) -> Answer:
    """Decodes a whole answer at once; raises ChannelError unless all its events are valid."""
    decoder = AnswerDecoder()
    decoder.feed(body)
    decoder.finish()
    while decoder.advance(MAX_ANSWER_MEMBERS):
        pass
    if decoder.answer is None:
        raise ChannelError("not a complete answer")
    return decoder.answer
