"""Handle the console's requests."""

import asyncio

from aiohttp import web

from fescuedrum.conf.diff import diff, merge
from fescuedrum.conf.document import ZoneState
from fescuedrum.conf.safety import Allowance
from fescuedrum.exceptions import (
    BadRequest,
    ChangeInvalid,
    ChangeRaced,
    ChangeUnsettled,
    FescuedrumError,
)
from fescuedrum.versions.apply import ChangeApplier, Proposal
from fescuedrum.versions.audit import read_audit_records, read_head, verify_records
from fescuedrum.versions.records import audit_key, load_record
from fescuedrum_entry.operators import status
from fescuedrum_entry.operators.access import ACCOUNT
from fescuedrum_entry.operators.accounts import Role
from fescuedrum_entry.operators.changes import Changes, utc_now
from fescuedrum_entry.operators.console import drafts, forms
from fescuedrum_entry.operators.console.pages import Pages, serve_style
from fescuedrum_entry.operators.console.sessions import COOKIE, Sessions

FIRST_SECTION = "zones"
AUDIT_ROWS = 50


def add_routes(application, entry):
    """Add the console's routes, but only if there is a secret for its cookies."""
    if not entry.settings.console_secret:
        return
    sessions = Sessions(entry)
    Console(entry, Pages(entry, sessions), sessions).add_routes(application.router)


class Console:
    """Handle the requests of the console of one entry."""

    __slots__ = ("changes", "entry", "pages", "sessions")

    def __init__(self, entry, pages, sessions):
        self.entry = entry
        self.pages = pages
        self.sessions = sessions
        self.changes = Changes(entry)

    def add_routes(self, router):
        router.add_get("/console/style.css", serve_style)
        router.add_get("/console/sign-in", self.show_sign_in)
        router.add_post("/console/sign-in", self.sign_in)
        form, page = self.pages.protect_form, self.pages.protect
        router.add_post("/console/sign-out", form(Role.VIEWER, self.sign_out))
        router.add_get("/console/", page(Role.VIEWER, self.show_overview))
        router.add_get("/console/status", page(Role.VIEWER, self.show_status))
        router.add_get("/console/fairness", page(Role.VIEWER, self.show_fairness))
        router.add_get("/console/audit", page(Role.VIEWER, self.show_audit))
        router.add_get("/console/edit", page(Role.OPERATOR, self.show_new_draft))
        router.add_post("/console/edit", form(Role.OPERATOR, self.edit))
        router.add_post("/console/apply", form(Role.OPERATOR, self.apply))
        zone = "/console/zones/{zone}/{state:in|out}"
        router.add_get(zone, page(Role.OPERATOR, self.preview_zone))

    async def show_sign_in(self, request):
        """Show the sign-in form."""
        return self.pages.render(request, "sign_in.html", title="Sign in", error=None)

    async def sign_in(self, request):
        """Open a session and redirect, or show the form again with the error."""
        form = await request.post()
        response = web.Response(status=303, headers={"Location": "/console/"})
        try:
            self.sessions.open(request, response, str(form.get("token", "")).strip())
        except FescuedrumError as error:
            return self.pages.render(
                request,
                "sign_in.html",
                status=error.status,
                title="Sign in",
                error=error,
            )
        return response

    async def sign_out(self, request, form):
        """Delete the session's cookie and redirect to the sign-in form."""
        response = web.Response(status=303, headers={"Location": "/console/sign-in"})
        response.del_cookie(COOKIE, path="/console")
        return response

    async def show_overview(self, request):
        """Show the versions and the zones with their capacity."""
        newest = await self.changes.newest()
        return self.pages.render(
            request,
            "overview.html",
            title="Overview",
            newest=newest,
            sums=self.entry.members.zone_sums(),
            can_operate=request[ACCOUNT].role.includes(Role.OPERATOR),
        )

    async def show_status(self, request):
        """Show the members with their versions."""
        described = await status.describe(self.entry)
        return self.pages.render(
            request, "status.html", title="Status", report=described
        )

    async def show_fairness(self, request):
        """Show the report of the fairness monitor."""
        report = self.entry.fairness.report(asyncio.get_running_loop().time())
        return self.pages.render(
            request, "fairness.html", title="Fairness", report=report
        )

    async def show_audit(self, request):
        """Show the newest audit records and the findings of their check."""
        head, _ = await read_head(self.entry.platform)
        records = await read_audit_records(
            self.entry.platform, head.version, AUDIT_ROWS
        )
        findings = verify_records(records, head, whole=head.version <= AUDIT_ROWS)
        return self.pages.render(
            request,
            "audit.html",
            title="Audit trail",
            head=head,
            records=records,
            findings=findings,
        )

    async def show_new_draft(self, request):
        """Show the first section of a new draft of the newest document."""
        newest = await self.changes.newest()
        draft = drafts.begin(newest.version, newest.document)
        return await self.show_section(request, draft, FIRST_SECTION)

    async def edit(self, request, form):
        """Update a section of the draft and show the page of the pressed button."""
        draft = drafts.load(self.sessions.drafts, form.get("draft", ""))
        draft.read_section(form, form.get("section", ""))
        draft.note = form.get("note", draft.note)
        go = form.get("go", "check")
        if go == "review":
            return await self.show_review(request, draft)
        known = [name for name, _, _ in forms.sections()]
        here = form.get("section", FIRST_SECTION)
        return await self.show_section(request, draft, go if go in known else here)

    async def show_section(self, request, draft, section):
        """Show the form of one section with the draft's findings."""
        base = await self.base_document(draft)
        findings = draft.findings(base, self.entry.served_zones())
        cls = next(each for name, _, each in forms.sections() if name == section)
        rows = forms.build_rows(
            cls, draft.data[section], section, f"$.{section}", findings
        )
        return self.pages.render(
            request,
            "edit.html",
            title="Configuration",
            draft=draft,
            signed=draft.dump(self.sessions.drafts),
            section=section,
            sections=forms.sections(),
            rows=rows,
            findings=findings,
        )

    async def show_review(self, request, draft, *, code=200):
        """Show the draft's changes and findings before it is applied."""
        base = await self.base_document(draft)
        findings = draft.findings(base, self.entry.served_zones())
        decoded = draft.decode()
        changes = diff(base, decoded.ok_value) if decoded.is_ok() else []
        return self.pages.render(
            request,
            "review.html",
            status=code,
            title="Review",
            draft=draft,
            signed=draft.dump(self.sessions.drafts),
            changes=changes,
            findings=findings,
            faulty=drafts.has_errors(findings),
            allowances=list(Allowance),
        )

    async def base_document(self, draft):
        """Return the accepted document that a draft is based on."""
        newest = await self.changes.newest()
        if newest.version == draft.base_version:
            return newest.document
        row = await self.entry.platform.get(audit_key(draft.base_version))
        record = load_record(row)
        if record is None:
            raise BadRequest(f"There is no version {draft.base_version}.")
        return await ChangeApplier(self.entry.platform).read_document(record.after)

    async def apply(self, request, form):
        """Apply a draft; show the version, findings, a conflict or unknown outcome."""
        draft = drafts.load(self.sessions.drafts, form.get("draft", ""))
        draft.note = form.get("note", draft.note)
        draft.allowed = [word for word in Allowance if form.get(word)]
        decoded = draft.decode()
        if decoded.is_err():
            return await self.show_review(request, draft, code=ChangeInvalid.status)
        proposal = Proposal(
            draft.base_version,
            decoded.ok_value,
            change=draft.change,
            who=request[ACCOUNT].name,
            when=utc_now(),
            allowed=draft.allowed,
            note=draft.note,
        )
        try:
            accepted = await self.changes.accept(proposal)
        except ChangeInvalid as error:
            return await self.show_review(request, draft, code=error.status)
        except ChangeRaced as error:
            return await self.show_race(request, draft, decoded.ok_value, error)
        except ChangeUnsettled as error:
            return self.pages.render(
                request,
                "unsettled.html",
                status=error.status,
                title="Not known yet",
                error=error,
                draft=draft,
                signed=draft.dump(self.sessions.drafts),
            )
        return self.pages.render(
            request, "accepted.html", title="Accepted", accepted=accepted
        )

    async def show_race(self, request, draft, mine, error):
        """Show both conflicting changes and offer merges that prefer either side."""
        base = await self.base_document(draft)
        newest = await self.changes.newest()
        merged, conflicts = merge(base, mine, newest.document)
        preferred, _ = merge(base, newest.document, mine)
        offers = []
        for document in (merged, preferred):
            offer = drafts.begin(newest.version, document)
            offer.note = draft.note
            offers.append(offer.dump(self.sessions.drafts))
        return self.pages.render(
            request,
            "race.html",
            status=error.status,
            title="Another change came first",
            error=error,
            conflicts=conflicts,
            merged=offers[0],
            preferred=offers[1],
        )

    async def preview_zone(self, request):
        """Show the effect of taking a zone out or in, with a form to apply it."""
        name, state = request.match_info["zone"], request.match_info["state"]
        newest = await self.changes.newest()
        draft = drafts.begin(newest.version, newest.document)
        zones = [zone for zone in draft.data["zones"] if zone["name"] == name]
        if not zones:
            raise BadRequest(f"There is no zone {name!r}.")
        zones[0]["state"] = state
        findings = draft.findings(newest.document, self.entry.served_zones())
        return self.pages.render(
            request,
            "zone.html",
            title=f"Take {name} {state}",
            name=name,
            state=state,
            lines=compare_capacity(newest.document, self.entry, name, state),
            findings=findings,
            allowances=list(Allowance),
            needs_allowance=any(each.id.startswith("change.") for each in findings),
            draft=draft,
            signed=draft.dump(self.sessions.drafts),
        )


class CapacityComparison:
    """Hold a service's capacity before and after a zone's change of state."""

    __slots__ = ("after", "before", "running", "service")

    def __init__(self, service, before, after, running):
        self.service = service
        self.before = before
        self.after = after
        self.running = running

    @property
    def enough(self):
        """Return whether the requests running now fit into the capacity after it."""
        return self.running <= self.after


def compare_capacity(document, entry, name, state):
    """Return the capacity comparison of each service, from the latest zone sums."""
    sums = entry.members.zone_sums()
    inside = {zone.name for zone in document.zones if zone.state is ZoneState.IN}
    planned = inside | {name} if state == ZoneState.IN else inside - {name}
    lines = []
    for service in document.services:
        by_zone = {
            zone: total.services[service.name]
            for zone, total in sums.items()
            if service.name in total.services
        }
        before = sum(line.limit for zone, line in by_zone.items() if zone in inside)
        after = sum(line.limit for zone, line in by_zone.items() if zone in planned)
        running = sum(line.running for line in by_zone.values())
        lines.append(CapacityComparison(service.name, before, after, running))
    return lines
