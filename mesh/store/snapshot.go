package store

// This file encodes and reads snapshots, which are stored in pieces, and the
// pointer to the newest one.

import (
	"context"
	"fmt"
	"strings"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"caroblift.dev/wire"
)

// Bounds of a snapshot. Base64 encoding makes a piece a third larger, and the
// object must stay below the platform's limit of 1 MB.
const (
	maxPieceBytes    = 700_000 // before base64 encoding
	maxPieces        = 64
	maxSnapshotBytes = 64 << 20 // decompressed
)

// pointerName is the name of the only pointer object.
const pointerName = "snapshot"

// pieceName returns the object name of a piece; names sort by snapshot number.
func pieceName(number uint64, change string, index int) string {
	return fmt.Sprintf("%s.%03d", piecePrefix(number, change), index)
}

// piecePrefix returns the common part of the names of a snapshot's pieces.
func piecePrefix(number uint64, change string) string {
	return fmt.Sprintf("%020d.%s", number, change)
}

// piecePrefixOf returns the name of a piece without its index.
func piecePrefixOf(name string) string {
	i := strings.LastIndexByte(name, '.')
	return name[:max(i, 0)]
}

// encodeSnapshot compresses a snapshot and returns the bodies of its pieces.
func encodeSnapshot(s *wire.Snapshot) ([][]byte, error) {
	encoded, err := proto.Marshal(s)
	if err != nil {
		return nil, errors.Wrapf(err, "encode snapshot %d", s.GetNumber())
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "create zstd encoder")
	}
	compressed := enc.EncodeAll(encoded, nil)
	_ = enc.Close()
	var out [][]byte
	for index := 0; len(compressed) > 0; index++ {
		n := min(len(compressed), maxPieceBytes)
		body, err := protojson.Marshal(&wire.Piece{Number: s.GetNumber(), Index: uint32(index), Data: compressed[:n]})
		if err != nil {
			return nil, errors.Wrapf(err, "encode piece %d of snapshot %d", index, s.GetNumber())
		}
		out, compressed = append(out, body), compressed[n:]
	}
	if len(out) > maxPieces {
		return nil, errors.Errorf("snapshot %d has %d pieces; %d are allowed", s.GetNumber(), len(out), maxPieces)
	}
	return out, nil
}

// decodePiece returns the data of a piece. It returns an error if the piece has
// another snapshot number or index.
func decodePiece(o Object, number uint64, index uint32) ([]byte, error) {
	var p wire.Piece
	if err := decodeJSON(o, &p); err != nil {
		return nil, err
	}
	if p.GetNumber() != number || p.GetIndex() != index {
		return nil, errors.Errorf("object %s/%s holds piece %d of snapshot %d", o.Kind, o.Name, p.GetIndex(), p.GetNumber())
	}
	return p.GetData(), nil
}

// decodeSnapshot decompresses and decodes the joined data of all pieces.
func decodeSnapshot(compressed []byte) (*wire.Snapshot, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotBytes))
	if err != nil {
		return nil, errors.Wrap(err, "create zstd decoder")
	}
	defer dec.Close()
	encoded, err := dec.DecodeAll(compressed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	var s wire.Snapshot
	return &s, errors.Wrap(proto.Unmarshal(encoded, &s), "decode snapshot")
}

// readSnapshot reads the snapshot that a pointer names.
func readSnapshot(ctx context.Context, s Store, p *wire.Pointer) (*wire.Snapshot, error) {
	if p.GetPieces() > maxPieces {
		return nil, errors.Errorf("pointer to snapshot %d names %d pieces; %d are allowed", p.GetSnapshot(), p.GetPieces(), maxPieces)
	}
	var compressed []byte
	for i := range p.GetPieces() {
		o, err := s.Get(ctx, KindSnapshot, pieceName(p.GetSnapshot(), p.GetChange(), int(i)))
		if err != nil {
			return nil, errors.Wrapf(err, "piece %d of snapshot %d", i, p.GetSnapshot())
		}
		data, err := decodePiece(o, p.GetSnapshot(), i)
		if err != nil {
			return nil, err
		}
		compressed = append(compressed, data...)
	}
	snapshot, err := decodeSnapshot(compressed)
	if err != nil {
		return nil, errors.Wrapf(err, "snapshot %d", p.GetSnapshot())
	}
	if snapshot.GetNumber() != p.GetSnapshot() {
		return nil, errors.Errorf("pieces of snapshot %d hold snapshot %d", p.GetSnapshot(), snapshot.GetNumber())
	}
	return snapshot, nil
}

// readPointer returns the pointer and the version of its object, or an empty
// pointer and the zero Version if no snapshot has been written yet.
func readPointer(ctx context.Context, s Store) (*wire.Pointer, Version, error) {
	o, err := s.Get(ctx, KindPointer, pointerName)
	if errors.Is(err, ErrNotFound) {
		return &wire.Pointer{}, Version{}, nil
	}
	if err != nil {
		return nil, Version{}, err
	}
	var p wire.Pointer
	if err := decodeJSON(o, &p); err != nil {
		return nil, Version{}, err
	}
	return &p, o.Version, nil
}
