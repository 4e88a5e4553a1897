package library_test

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dghubble/sling"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/zeebo/errs"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
