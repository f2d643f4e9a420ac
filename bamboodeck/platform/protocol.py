"""Define the headers, paths and keys of the platform's protocol."""

REQUEST_ID = 'X-Bamboodeck-Request-Id'
DEADLINE_MS = 'X-Bamboodeck-Deadline-Ms'
EXPECT_INSTANCE = 'X-Bamboodeck-Expect-Instance'
EXPECT_VERSION = 'X-Bamboodeck-Expect-Version'
TENANT = 'X-Bamboodeck-Tenant'
API_KEY = 'X-Api-Key'
MODEL = 'X-Bamboodeck-Model'
TOKEN_COUNTS = 'X-Bamboodeck-Token-Counts'
PROMPT_PREFIX = 'X-Bamboodeck-Prompt-Prefix'
LENGTH_HINT = 'X-Bamboodeck-Length-Hint'
LAST_EVENT_ID = 'Last-Event-Id'
PRIORITY = 'X-Bamboodeck-Request-Priority'
PIN_MS = 'X-Bamboodeck-Pin-Ms'
HOLD = 'X-Bamboodeck-Hold'
KV_BACKUP = 'X-Bamboodeck-Kv-Backup'
KV_FROM = 'Kv-From'
KV_FETCH = 'Kv-Fetch'
SESSION = 'Session'
STAMP = 'X-Bamboodeck-Response-Stamp'
NOT_EXECUTED = 'X-Bamboodeck-Not-Executed'
CONFIDENCE = 'X-Bamboodeck-Confidence'
RETRY_AFTER = 'Retry-After'
STORE_ERA = 'Store-Era'
SERVER_LEAVING = 'Server-Leaving'
SERVER_LIMIT = 'Server-Limit'

READY_PATH = '/api/ready'
# Paths of the store.
RANGE_PATH = '/api/kv-range'
WATCH_PATH = '/api/kv-watch'
COMMIT_PATH = '/api/kv-txn'
GRANT_PATH = '/api/kv-lease'
RENEW_PATH = '/api/kv-keep'

ANY_MODEL = '*'

CONFIGURATION_KEY = 'op/config'
ROLLOUT_PREFIX = 'op/rollout/'
EVACUATE_PREFIX = 'op/evacuate/'
OPERATOR_PREFIX = 'op/'
ENGINE_PREFIX = 'servers/'
STATUS_PREFIX = 'status/rollout/'
OWN_PREFIX = 'bamboodeck/'

# Settings keys of the ports for callers and for readiness checks.
CALLERS_LISTEN_KEY = 'listen.front'
READY_LISTEN_KEY = 'listen.ready'

# Listed in the settings where engines crash beyond their memory.
PRESSURE_CONTRACT = 'pressure'

SETTINGS_VARIABLE = 'BAMBOODECK_SETTINGS'
# Set in deploy/system.toml, which also gives the port to the platform.
METRICS_PORT_VARIABLE = 'BAMBOODECK_METRICS_PORT'
