package catalog

import "fmt"

// Class says what a finding means for the document.
type Class uint8

// Classes of findings.
const (
	Invalid  Class = iota // the document is rejected
	Unused                // an entry that can never match, or a value without effect
	Conflict              // values that contradict each other
	Notice                // something that may be intended; a document with only notices is clean
)

// String returns the name of the class in kebab case.
func (c Class) String() string {
	return [...]string{"error", "never-matches", "contradiction", "notice"}[c]
}

// Section is a part of a document.
type Section uint8

// Sections of a document.
const (
	SectionDocument Section = iota // the document itself
	SectionRoutes
	SectionPools
	SectionCustomers
	SectionLimits
)

// Field is a value of an entry of a section. The zero value is the entry as a whole.
type Field string

// Fields of the entries. FieldSharePool, FieldShareWeight and FieldKey are in lists.
const (
	FieldVersion        Field = "version"
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPrefix         Field = "prefix"
	FieldKind           Field = "kind"
	FieldTimeout        Field = "timeout"
	FieldObjective      Field = "objective"
	FieldMaxPause       Field = "max-pause"
	FieldRank           Field = "rank"
	FieldShares         Field = "shares"
	FieldSharePool      Field = "share-pool"
	FieldShareWeight    Field = "share-weight"
	FieldAttempts       Field = "attempts"
	FieldOpen           Field = "open"
	FieldAffinity       Field = "affinity"
	FieldResumable      Field = "resumable"
	FieldHealthPath     Field = "health-path"
	FieldMaxConnections Field = "max-connections"
	FieldEngine         Field = "engine"
	FieldSlots          Field = "slots"
	FieldEventTokens    Field = "event-tokens"
	FieldCacheTokens    Field = "cache-tokens"
	FieldBytesPerToken  Field = "bytes-per-token"
	FieldLinkMbps       Field = "link-mbps"
	FieldRetention      Field = "retention"
	FieldRoleChange     Field = "role-change"
	FieldKeys           Field = "keys"
	FieldKey            Field = "key"
	FieldRate           Field = "rate"
	FieldBurst          Field = "burst"
	FieldUnit           Field = "unit"
	FieldPlainTokens    Field = "plain-tokens"
	FieldHeaderBytes    Field = "header-bytes"
	FieldBodyBytes      Field = "body-bytes"
	FieldHeaderTimeout  Field = "header-timeout"
	FieldIdleTimeout    Field = "idle-timeout"
)

// Place is a value or an entry in a document.
type Place struct {
	Section Section
	Index   int // of the entry in its section
	Field   Field
	Item    int // index in the list, for fields that are in one
}

// Finding is what an examination has found in a document. Text contains no API key.
type Finding struct {
	Class Class
	Place Place
	Text  string
}

// Located is a finding with its place in the text of a document.
type Located struct {
	Class Class
	Line  int    // from 1
	Key   string // path of the value in the text
	Text  string
}

// findings collects the findings in one document.
type findings []Finding

func (f *findings) add(c Class, p Place, format string, args ...any) {
	*f = append(*f, Finding{Class: c, Place: p, Text: fmt.Sprintf(format, args...)})
}
