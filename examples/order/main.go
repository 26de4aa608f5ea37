// Command order places one order through a daemon and prints the service's answer. The
// Idempotency-Key makes it safe to resend the order after an unknown outcome.
//
// # Usage
//
//	order -daemon 127.0.0.1:8001 -key KEY -route orders '{"Item":"vellum-a2","Count":3}'
package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"lentilstage.dev/domain/ident"
	"lentilstage.dev/wire/answer"
	"lentilstage.dev/wire/wire"
)

func main() {
	daemon := flag.String("daemon", "127.0.0.1:8001", "daemon `address`")
	key := flag.String("key", "", "the client account's `key`")
	route := flag.String("route", "orders", "plain `route`")
	idempotencyKey := flag.String("idempotency-key", ident.NewKey(), "`key` of the order; a new one by default")
	flag.Parse()
	if err := placeOrder(*daemon, *key, *route, *idempotencyKey, strings.Join(flag.Args(), " ")); err != nil {
		fmt.Fprintln(os.Stderr, "order:", err)
		os.Exit(1)
	}
}

func placeOrder(daemon, key, route, idempotencyKey, body string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+daemon+"/app/"+route+"/orders", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(wire.HeaderIdempotencyKey, idempotencyKey)
	client := &http.Client{Transport: answer.Wrap(&http.Transport{})}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	fmt.Println("Idempotency-Key:", idempotencyKey)
	if response.Header.Get(wire.HeaderReplayed) != "" {
		fmt.Println("The answer is the stored one of an earlier call.")
	}
	fmt.Printf("%s %s\n", response.Status, text)
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the order with key %s was refused", idempotencyKey)
	}
	return nil
}
