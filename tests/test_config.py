import pathlib

import pytest
from returns import result

from toucanfold import config

CONTROL = """
[control]
fleet = f
name = c1
region = r1
data_centre = d1
secret_file = secret
listen = 127.0.0.1:1
admin_listen = 127.0.0.1:2
admin_file = admin
data_folder = data
members = c1=127.0.0.1:1
"""


def read(tmp_path, text, role="control"):
    file = tmp_path / "settings.ini"
    file.write_text(text)
    return config.read(str(file), role)


def test_valid_file_has_defaults(tmp_path):
    settings = read(tmp_path, CONTROL).unwrap()
    assert settings.get("control", "members") == {"c1": "127.0.0.1:1"}
    assert settings.get("control", "snapshot_entries") == 1000


@pytest.mark.parametrize(
    ("change", "section", "option", "text"),
    [
        (("listen = 127.0.0.1:1", "listen = here"), "control", "listen", "IP address"),
        (("fleet = f", ""), "control", "fleet", "missing"),
        (("fleet = f", "fleet = f\nspeed = 9"), "control", "speed", "unknown option"),
        (("fleet = f", "fleet = f\nfleet = g"), "-", "-", "already exists"),
        (
            ("fleet = f", "fleet = f\nsnapshot_entries = 1"),
            "control",
            "snapshot_entries",
            "10 to",
        ),
        (("[control]", "[other]\na = 1\n[control]"), "other", "-", "unknown section"),
    ],
)
def test_error_names_file_section_option_and_remedy(
    tmp_path, change, section, option, text
):
    """Guards against settings errors that do not tell the operator where to look."""
    error = read(tmp_path, CONTROL.replace(*change)).failure()
    assert (error.section, error.option) == (section, option)
    assert "settings.ini" in str(error)
    assert text in str(error)
    assert error.remedy


def test_missing_file_is_an_error(tmp_path):
    assert isinstance(config.read(str(tmp_path / "none"), "daemon"), result.Failure)


def test_page_equals_table():
    """Guards against a settings page that is out of date."""
    page = pathlib.Path(__file__).parent.parent / "docs" / "settings.md"
    assert page.read_text() == config.write_docs()
