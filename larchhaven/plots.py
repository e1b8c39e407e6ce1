"""Pictures for reports that are one HTML file; only what writes reports loads the plotting library."""

from __future__ import annotations

import html
import io

import matplotlib as mpl
from matplotlib.figure import Figure

mpl.rcParams["svg.hashsalt"] = "larchhaven"  # the same samples give the same file


def svg(figure: Figure) -> str:
    """Draw a figure as text that stands in a page."""
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def page(title: str, body: str) -> str:
    """Return a whole page; the body is HTML, the title plain text."""
    return f"""<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(title)}</title>
<style>body{{font:15px sans-serif;max-width:64em;margin:2em auto}}td,th{{padding:.2em 1em;text-align:right}}
td:first-child{{text-align:left}}svg{{max-width:100%;height:auto}}</style>
<h1>{html.escape(title)}</h1>{body}</html>
"""
