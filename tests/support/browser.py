"""Fill in and submit forms as a browser without scripts does."""

from html.parser import HTMLParser

import aiohttp
from yarl import URL


class Form:
    """Hold a form's action, its fields with their values, and its buttons."""

    def __init__(self, action):
        self.action = action
        self.fields = {}
        self.buttons = []


class PageParser(HTMLParser):
    """Collect the forms, the links and the text of a page."""

    def __init__(self):
        super().__init__()
        self.forms = []
        self.links = []
        self.text = ""
        self.scripts = 0
        self.labels = set()
        self.unlabelled = []
        self.select = self.area = None
        self.first_option = False

    def handle_starttag(self, tag, attrs):
        attrs = dict(attrs)
        match tag:
            case "form":
                self.forms.append(Form(attrs["action"]))
            case "a":
                self.links.append(attrs["href"])
            case "script":
                self.scripts += 1
            case "label":
                self.labels.add(attrs.get("for"))
            case "input":
                self.add_input(attrs)
            case "select":
                self.select = attrs["name"]
                self.first_option = True
            case "option":
                if self.first_option or "selected" in attrs:
                    self.forms[-1].fields[self.select] = attrs.get("value", "")
                    self.option_open = "value" not in attrs
                self.first_option = False
            case "textarea":
                self.area = attrs["name"]
                self.forms[-1].fields[self.area] = ""

    def add_input(self, attrs):
        """Add a field to the form, and note whether it lacks a label."""
        kind = attrs.get("type", "text")
        if kind in ("text", "password") and attrs.get("id") not in self.labels:
            self.unlabelled.append(attrs.get("name"))
        if kind != "checkbox" or "checked" in attrs:
            self.forms[-1].fields[attrs["name"]] = attrs.get("value", "")

    def handle_endtag(self, tag):
        if tag == "textarea":
            self.area = None
        if tag == "option":
            self.option_open = False

    option_open = False

    def handle_data(self, data):
        self.text += data
        if self.area:
            self.forms[-1].fields[self.area] += data
        if self.option_open:
            self.forms[-1].fields[self.select] = data.strip()


class Browser:
    """Hold the cookies and the current page."""

    def __init__(self, url):
        self.url = url
        jar = aiohttp.CookieJar(unsafe=True)
        self.session = aiohttp.ClientSession(cookie_jar=jar)
        self.page = None
        self.status = 0
        self.headers = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.session.close()

    def switch_entry(self, url):
        """Use another entry with the same cookies, as behind one balancer."""
        jar = self.session.cookie_jar
        cookies = jar.filter_cookies(URL(self.url + "/console/"))
        self.url = url
        jar.update_cookies(cookies, URL(url + "/console/"))

    async def open(self, path):
        """Load a page; return its text."""
        return await self.load_page(self.session.get(self.url + path))

    async def send(self, action, *, button=None, **changes):
        """Submit the form of this action with changes; return the next page's text."""
        form = next(each for each in self.page.forms if each.action == action)
        fields = form.fields | changes
        if button:
            fields["go"] = button
        return await self.load_page(self.session.post(self.url + action, data=fields))

    async def load_page(self, request):
        """Wait for a response and parse it as the current page; return its text."""
        async with request as response:
            self.status = response.status
            self.headers = response.headers
            self.page = PageParser()
            self.page.feed(await response.text())
        return self.page.text

    async def sign_in(self, token):
        """Sign in on the console with a token."""
        await self.open("/console/sign-in")
        return await self.send("/console/sign-in", token=token)
