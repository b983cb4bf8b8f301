"""Render the console's pages and protect its handlers."""

import functools
from importlib import resources

import jinja2
from aiohttp import web

from fescuedrum.exceptions import FescuedrumError, NotSignedIn
from fescuedrum_entry.operators.access import ACCOUNT

NAVIGATION = [
    ("/console/", "Overview"),
    ("/console/edit", "Configuration"),
    ("/console/status", "Status"),
    ("/console/fairness", "Fairness"),
    ("/console/audit", "Audit trail"),
]
# The policy allows no scripts and nothing from other origins.
SECURITY_HEADERS = {
    "Content-Security-Policy": "default-src 'none'; style-src 'self'; img-src 'self';"
    " form-action 'self'; base-uri 'none'; frame-ancestors 'none'",
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "same-origin",
    "Cache-Control": "no-store",
}
STYLE = "style.css"


class Pages:
    """Render templates for one entry's console and protect its handlers."""

    __slots__ = ("entry", "environment", "sessions")

    def __init__(self, entry, sessions):
        self.entry = entry
        self.sessions = sessions
        self.environment = jinja2.Environment(
            loader=jinja2.PackageLoader(__package__, "templates"),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )

    def render(self, request, template, *, status=200, **context):
        """Return the response with a rendered template."""
        account = request.get(ACCOUNT)
        text = self.environment.get_template(template).render(
            navigation=NAVIGATION if account else [],
            account=account,
            path=request.path,
            entry=self.entry,
            csrf=self.sessions.build_csrf_token(request) if account else "",
            **context,
        )
        return web.Response(
            text=text, status=status, content_type="text/html", headers=SECURITY_HEADERS
        )

    def protect(self, role, handler):
        """Return a handler that requires a session of this role or above."""

        @functools.wraps(handler)
        async def protected(request):
            try:
                self.sessions.authenticate(request)
                self.sessions.check_role(request, role)
                return await handler(request)
            except NotSignedIn:
                raise web.HTTPSeeOther("/console/sign-in") from None
            except FescuedrumError as error:
                return self.render_error(request, error)

        return protected

    def protect_form(self, role, handler):
        """Return a POST handler that also requires the session's CSRF token."""

        async def checked(request):
            # The form contains the whole document, larger than the usual size limit.
            limit = self.entry.settings.maximum_body_bytes * 4
            form = await request.clone(client_max_size=limit).post()
            self.sessions.check_csrf_token(request, form)
            return await handler(request, form)

        return self.protect(role, checked)

    def render_error(self, request, error):
        """Return the page of an error, with the error's status."""
        return self.render(
            request, "error.html", status=error.status, title="Not done", error=error
        )


async def serve_style(_):
    """Serve the style sheet."""
    style = resources.files(__package__).joinpath("static", STYLE)
    return web.Response(
        text=style.read_text(), content_type="text/css", headers=SECURITY_HEADERS
    )
