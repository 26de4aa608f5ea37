package wire

type (
	// PlacedOrder is the plain service's reply to POST /orders and GET /orders/{key}.
	PlacedOrder struct {
		// Key is the Idempotency-Key of the order.
		Key string `json:"Key"`
		// Number is the sequence number of the order at the service, from 1.
		Number int64 `json:"Number"`
		// BodyHash is ident.Fingerprint of key and body. A caller can use it to verify that the
		// reply belongs to its order.
		BodyHash string `json:"BodyHash"`
	}
)
