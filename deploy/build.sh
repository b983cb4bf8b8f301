# Put all that the programs need under target/deps.
set -eu
stamp=target/deps/.libraries
if [ ! -e "$stamp" ] || [ deploy/requirements.txt -nt "$stamp" ] || [ constraints.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        --requirement deploy/requirements.txt --constraint constraints.txt
    touch "$stamp"
fi
rm -rf target/deps/fescuedrum target/deps/fescuedrum_gateway target/deps/fescuedrum_platform
cp -r packages/fescuedrum/src/fescuedrum target/deps/
cp -r packages/fescuedrum-gateway/src/fescuedrum_gateway target/deps/
cp -r platform/src/fescuedrum_platform target/deps/
python3 -m compileall -q target/deps
