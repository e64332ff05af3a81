package pipeline

import (
	"bytes"
	"strings"
)

// lineBreaks replaces line breaks, which are not allowed in header values.
var lineBreaks = strings.NewReplacer("\r", " ", "\n", " ")

func writeFields(b *bytes.Buffer, name string, values []string) {
	for _, v := range values {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(lineBreaks.Replace(v))
		b.WriteString("\r\n")
	}
}
