package main_test

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/dghubble/sling"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/uuid"
	_ "github.com/integrii/flaggy"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rs/zerolog"
	_ "github.com/zeebo/errs"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
