package disk

import "encoding/binary"

// FixChecksum sets the checksum of the record that fills a buffer.
func FixChecksum(record []byte) {
	binary.LittleEndian.PutUint32(record[4:], checksum(record))
}

// FixRecords sets format version, segment and checksum of the records in a file,
// up to the first record whose length exceeds the file.
func FixRecords(data []byte, segment uint32) {
	for len(data) >= recordHeaderSize {
		size := (recordHeaderSize + int(binary.LittleEndian.Uint32(data)) + recordAlignment - 1) / recordAlignment * recordAlignment
		if size > len(data) {
			return
		}
		data[8] = formatVersion
		binary.LittleEndian.PutUint32(data[12:], segment)
		FixChecksum(data[:size])
		data = data[size:]
	}
}
