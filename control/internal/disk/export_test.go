package disk

import "encoding/binary"

// FixChecksum writes the checksum of the record that fills a buffer.
func FixChecksum(record []byte) {
	binary.LittleEndian.PutUint32(record[4:], checksum(record))
}
