package main_test

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dghubble/sling"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/integrii/flaggy"
	_ "github.com/rs/zerolog"
	_ "github.com/zeebo/errs"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
