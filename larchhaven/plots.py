"""Renders self-contained HTML reports with plots; imported only by commands that write reports."""

from __future__ import annotations

import html
import io

import matplotlib as mpl
from matplotlib.figure import Figure

mpl.rcParams["svg.hashsalt"] = "larchhaven"  # equal samples give identical files

_STYLE = """body{font:15px sans-serif;max-width:64em;margin:2em auto}
td,th{padding:.2em 1em;text-align:right}
td:first-child{text-align:left}svg{max-width:100%;height:auto}"""


def render_svg(figure: Figure) -> str:
    """Render a figure as an SVG element for embedding in an HTML page."""
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def render_page(title: str, body: str) -> str:
    """Render a complete HTML page.

    Args:
        title: Title in plain text.
        body: Content below the title, as HTML.

    Returns:
        The page.
    """
    plain_title = html.escape(title)
    head = f'<meta charset="utf-8"><title>{plain_title}</title>\n<style>{_STYLE}</style>'
    return f"""<!doctype html><html lang="en">{head}
<h1>{plain_title}</h1>{body}</html>
"""
