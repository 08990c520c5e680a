"""Tests of the validation, merging and division of configurations."""

import json

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.configuration import parts
from fuchsiabarrow.configuration import patches

VALID = {
    "models": {"m": {"layers": 4}},
    "pipelines": {"p": {"model": "m"}},
    "organisations": {"o": {"key_sha256": ["0" * 64], "pipelines": ["p"]}},
}


@pytest.mark.parametrize(
    ("patch", "path"),
    [
        ({"models": {"m": {"layers": "four"}}}, "models"),
        ({"models": {"m": {"layers": 0}}}, "models.m.layers"),
        ({"models": {"m": {"depth": 4}}}, "models"),
        ({"models": None}, "pipelines.p.model"),
        ({"pipelines": {"p": {"actions": ["x"]}}}, "pipelines.p.actions"),
        ({"actions": {"x": {"service": "s", "path": "x"}}}, "actions.x.path"),
        (
            {"actions": {"x": {"service": "s", "path": "/x", "guard": "?"}}},
            "actions.x.guard",
        ),
        ({"organisations": {"o": {"share": 0}}}, "organisations.o.share"),
        (
            {"organisations": {"o": {"key_sha256": ["plain"]}}},
            "organisations.o.key_sha256",
        ),
        ({"limits": {"streams": 0}}, "limits.streams"),
        ({"unknown": 1}, "unknown"),
        ([], r"\$"),
        (3, r"\$"),
    ],
)
def test_error_about_invalid_patch_names_the_key(patch, path):
    with pytest.raises(exceptions.ConfigurationError, match=path):
        patches.apply_patch(VALID, 1, patch, 1)


@pytest.mark.parametrize(
    ("target", "patch", "result"),
    [
        # Cases of RFC 7396, appendix A, whose target is a JSON object.
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b"}, {"a": None}, {}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
        (
            {"a": {"b": "c"}},
            {"a": {"b": "d", "c": None}},
            {"a": {"b": "d"}},
        ),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_patch_is_merged_according_to_rfc_7396(
    target, patch, result, monkeypatch
):
    monkeypatch.setattr(documents, "decode", lambda document: document)
    before = json.dumps(target)
    assert patches.apply_patch(target, 1, patch, 1) == result
    assert json.dumps(target) == before


def test_change_of_one_organisation_changes_one_part():
    document = {
        "models": {"m": {"layers": 4}},
        "organisations": {
            f"org-{n}": {"key_sha256": ["0" * 64]} for n in range(500)
        },
    }
    before = parts.split_document(document)
    document["organisations"]["org-7"]["share"] = 2.0
    after = parts.split_document(document)
    changed = [name for name in after if after[name] != before[name]]
    assert len(changed) == 1


def test_joined_parts_equal_the_split_document():
    split = parts.split_document(VALID)
    head = parts.make_head(parts.EMPTY_HEAD, split, "n", "operator")
    by_digest = {parts.compute_digest(p): p for p in split.values()}
    assert parts.join_parts(head, by_digest) == VALID


def test_altered_part_is_refused():
    split = parts.split_document(VALID)
    head = parts.make_head(parts.EMPTY_HEAD, split, "n", "operator")
    by_digest = {digest: b"{}" for digest in head.parts.values()}
    with pytest.raises(exceptions.ConfigurationError, match="altered"):
        parts.join_parts(head, by_digest)


def test_key_is_compared_with_all_stored_digests():
    digests = [documents.hash_key("one"), documents.hash_key("two")]
    assert documents.matches_key(documents.hash_key("two"), digests)
    assert not documents.matches_key(documents.hash_key("three"), digests)
