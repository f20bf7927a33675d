import json
import pathlib
import re

from test_control import scenario

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "admin-api.md"
BLOCK = re.compile(r"```http\n(\S+) (\S+)\n(.*?)\n?\n(\d+)\n(.*?)\n```", re.DOTALL)


def test_examples_of_the_page_run_as_printed(tmp_path):
    """Guards against a page whose examples differ from the API's responses."""

    async def test(fleet):
        blocks = BLOCK.findall(PAGE.read_text())
        assert len(blocks) == PAGE.read_text().count("```http")
        for method, path, body, status, answer in blocks:
            fields = json.loads(body) if body else None
            response = await fleet.fetch(method, path, fields)
            assert response == (int(status), json.loads(answer)), (method, path)

    scenario(tmp_path, test)
