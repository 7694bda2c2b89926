"""Property tests: arbitrary input never raises and never changes state."""

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
def test_decodes_arbitrary_peer_messages(data: bytes) -> None:
    peer_messages.decode(data)


@hypothesis.given(st.integers(1, 13), st.lists(VALUES, max_size=8))
def test_decodes_arbitrary_fields_after_a_message_kind(
    kind: int, fields: list[object]
) -> None:
    peer_messages.decode(codec.encode([kind, *fields]))


@hypothesis.given(st.binary() | VALUES.map(codec.encode))
def test_unpacks_arbitrary_claim_records(data: bytes) -> None:
    claim_records.unpack(data)


@hypothesis.given(
    st.binary()
    | st.tuples(
        st.sampled_from([chain.PROPOSAL, chain.SNAPSHOT, ejections.EJECTION]), VALUES
    ).map(lambda pair: codec.encode(list(pair)))
)
def test_malformed_configuration_records_change_nothing(data: bytes) -> None:
    config = config_log.ConfigLog(documents.make_operators(KEYS))
    before = config.chain.bundle.digest
    config.apply_entry(0, data, 0.0)
    assert config.chain.version == 0
    assert config.chain.bundle.digest == before
    assert config.ejections.list_granted() == []


@hypothesis.given(VALUES)
def test_refuses_arbitrary_bundle_documents(value: object) -> None:
    assert bundles.parse_document(value).is_error()


@hypothesis.given(st.data())
def test_parses_bundle_documents_with_one_field_replaced(data: st.DataObject) -> None:
    document = documents.make_document(KEYS)
    node: typing.Any = document
    while True:
        key = data.draw(st.sampled_from(list(_list_keys(node))))
        inner = node[key]
        if not isinstance(inner, dict | list) or not inner or data.draw(st.booleans()):
            node[key] = data.draw(VALUES)
            break
        node = inner
    bundles.parse_document(document)


def test_encoded_message_decodes_to_itself() -> None:
    message = peer_messages.Sightings((SIGHTING,))
    assert peer_messages.decode(peer_messages.encode(message)).ok == message


def _list_keys(node: typing.Any) -> typing.Iterable[typing.Any]:
    return node.keys() if isinstance(node, dict) else range(len(node))
