import json

import pytest

from fuchsiabarrow.utils import json_slices

DEEP = b"[" * 5000 + b"]" * 5000


def test_array_is_split_at_its_outermost_commas():
    elements = [b'{"a": [1, 2]}', b'"x,]\\",{"', b"null", b"[]", b"-1.5e3"]
    text = b" [ " + b" , ".join(elements) + b" ] "
    assert json_slices.split_array(text) == elements
    assert json_slices.split_array(b"[ ]") == []


def test_object_is_split_into_its_members():
    value = {"a": {"b": [1, {"c": ":,}"}]}, "d": "x", "e": 1, "f": {}}
    members = json_slices.split_object(json.dumps(value).encode())
    assert {k.decode(): json.loads(v) for k, v in members.items()} == value
    assert json_slices.split_object(b"{}") == {}


# The decoders reject the whole text because of such a value.
@pytest.mark.parametrize("value", [DEEP, b'"\\udcff"', b'"\xff"'])
def test_value_that_no_decoder_takes_stays_as_it_is(value):
    text = b'{"bad": ' + value + b', "good": [' + value + b", 7]}"
    members = json_slices.split_object(text)
    assert members[b"bad"] == value
    assert json_slices.split_array(members[b"good"]) == [value, b"7"]


@pytest.mark.parametrize(
    "text", [b"", b"[", b"]", b"{}", b"1", b'"[]"', b"[1]]", b"[[1]", b"[}"]
)
def test_text_that_is_no_array_raises(text):
    with pytest.raises(ValueError):
        json_slices.split_array(text)


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'{"a"}', b'{"a": 1'])
def test_text_that_is_no_object_raises(text):
    with pytest.raises(ValueError):
        json_slices.split_object(text)
