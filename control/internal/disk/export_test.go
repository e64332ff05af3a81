package disk

import "encoding/binary"

// FixChecksum writes the checksum of the record that fills a buffer.
func FixChecksum(record []byte) {
	binary.LittleEndian.PutUint32(record[4:], checksum(record))
}

// FixRecords makes the records in a file belong to a segment and gives them
// matching checksums, as far as their lengths fit.
func FixRecords(data []byte, segment uint32) {
	for len(data) >= headerSize {
		size := (headerSize + int(binary.LittleEndian.Uint32(data)) + alignment - 1) / alignment * alignment
		if size > len(data) {
			return
		}
		data[8] = formatVersion
		binary.LittleEndian.PutUint32(data[12:], segment)
		FixChecksum(data[:size])
		data = data[size:]
	}
}
