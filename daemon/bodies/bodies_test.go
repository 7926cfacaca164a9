package bodies

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

func TestReadCountsLargeBodies(t *testing.T) {
	is := is.New(t)
	r := NewReader(64<<10, 1<<20)
	small, releaseSmall, err := r.Read(bytes.NewReader(make([]byte, 50_000)), 1<<20)
	is.NoErr(err)
	is.Equal(len(small), 50_000)
	is.Equal(r.Taken(), int64(0))
	var releases []func()
	for {
		_, release, err := r.Read(bytes.NewReader(make([]byte, 200_000)), 1<<20)
		releases = append(releases, release)
		if err != nil {
			is.True(errors.Is(err, ErrNoMemory))
			break
		}
		is.True(r.Taken() <= 1<<20)
	}
	is.True(len(releases) > 3)
	for _, release := range append(releases, releaseSmall) {
		release()
	}
	is.Equal(r.Taken(), int64(0))
}

func TestReadEndsAtTheLimitAndOnErrors(t *testing.T) {
	is := is.New(t)
	r := NewReader(1<<10, 1<<20)
	body, release, err := r.Read(bytes.NewReader(make([]byte, 300_000)), 200_000)
	is.NoErr(err)
	is.True(len(body) > 200_000)
	release()
	_, release, err = r.Read(io.MultiReader(bytes.NewReader(make([]byte, 100_000)), iotest.ErrReader(io.ErrClosedPipe)), 1<<20)
	is.True(errors.Is(err, io.ErrClosedPipe))
	release()
	is.Equal(r.Taken(), int64(0))
}

func TestReadSizedCountsBeforeReading(t *testing.T) {
	is := is.New(t)
	r := NewReader(1<<10, 1<<20)
	body, release, err := r.ReadSized(bytes.NewReader(make([]byte, 700_000)), 700_000)
	is.NoErr(err)
	is.Equal(len(body), 700_000)
	src := bytes.NewReader(make([]byte, 700_000))
	_, releaseSecond, err := r.ReadSized(src, 700_000)
	is.True(errors.Is(err, ErrNoMemory))
	is.Equal(src.Len(), 700_000)
	releaseSecond()
	release()
	is.Equal(r.Taken(), int64(0))
}
