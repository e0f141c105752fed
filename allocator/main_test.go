package allocator_test

import (
	"testing"

	"github.com/citronpier/citronpier/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }
