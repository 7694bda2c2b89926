"""Malformed input of every kind: it is refused, and nothing else happens."""

from __future__ import annotations

import typing

import hypothesis
import hypothesis.strategies as st

from zinniastand_core import (
    bundles,
    chain,
    claim_records,
    codec,
    config_log,
    ejections,
    membership,
    peer_messages,
)
from zinniastand_standins import documents

KEYS = {"a": documents.make_key(1)}
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
VALUES = st.recursive(
    SCALARS | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
SIGHTING = membership.Sighting(
    membership.Member("vm", "dc", "ws://x", 1), 0, membership.Status.ALIVE
)


@hypothesis.given(st.binary() | VALUES.map(codec.encode))
def test_peers_messages(data: bytes) -> None:
    peer_messages.decode(data)


@hypothesis.given(st.integers(1, 12), st.lists(VALUES, max_size=8))
def test_peers_messages_with_a_plausible_head(kind: int, fields: list[object]) -> None:
    peer_messages.decode(codec.encode([kind, *fields]))


@hypothesis.given(st.binary() | VALUES.map(codec.encode))
def test_claim_records(data: bytes) -> None:
    claim_records.unpack(data)


@hypothesis.given(
    st.binary()
    | st.tuples(
        st.sampled_from([chain.PROPOSAL, chain.SNAPSHOT, ejections.EJECTION]), VALUES
    ).map(lambda pair: codec.encode(list(pair)))
)
def test_config_records_change_nothing(data: bytes) -> None:
    config = config_log.ConfigLog(documents.make_operators(KEYS))
    before = config.chain.bundle.digest
    config.apply_entry(0, data, 0.0)
    assert config.chain.version == 0
    assert config.chain.bundle.digest == before
    assert config.ejections.list_granted() == []


@hypothesis.given(VALUES)
def test_bundle_documents(value: object) -> None:
    assert bundles.parse_document(value).is_error()


@hypothesis.given(st.data())
def test_bundle_documents_with_one_field_replaced(data: st.DataObject) -> None:
    document = documents.make_document(KEYS)
    place: typing.Any = document
    while True:
        key = data.draw(st.sampled_from(list(_keys_of(place))))
        inner = place[key]
        if not isinstance(inner, dict | list) or not inner or data.draw(st.booleans()):
            place[key] = data.draw(VALUES)
            break
        place = inner
    bundles.parse_document(document)


def test_messages_survive_the_round_trip() -> None:
    message = peer_messages.Sightings((SIGHTING,))
    assert peer_messages.decode(peer_messages.encode(message)).ok == message


def _keys_of(place: typing.Any) -> typing.Iterable[typing.Any]:
    return place.keys() if isinstance(place, dict) else range(len(place))
