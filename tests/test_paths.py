import hypothesis
import pytest
from hypothesis import strategies

from toucanfold import paths


@pytest.mark.parametrize(
    ("path", "normal"),
    [
        ("/lookups/../bookings/1", "/bookings/1"),
        ("/lookups/%2E%2e/bookings/1", "/bookings/1"),
        ("/lookups/..%2fbookings/1", "/bookings/1"),
        ("/lookups/..\\bookings", "/bookings"),
        ("//bookings//1", "/bookings/1"),
        ("/lookups/./1", "/lookups/1"),
        ("/../../a/", "/a/"),
        ("/a/b/..", "/a/"),
        ("/", "/"),
    ],
)
def test_normalization_of_ambiguous_paths(path, normal):
    assert paths.normal(path) == normal


@hypothesis.given(strategies.text("ab./%2e5cE\\", max_size=20))
def test_normalized_paths_are_canonical_and_unambiguous_paths_unchanged(text):
    """Guards against paths with two readings that are not reported as ambiguous."""
    path = "/" + text
    normalized = paths.normal(path)
    assert "//" not in normalized and "\\" not in normalized
    assert not {".", ".."} & set(normalized.split("/"))
    if not paths.is_ambiguous(path):
        assert normalized == path
