package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

const (
	promotionKeys     = "promotions/"
	promotionAttempts = 6
	promotionBackoff  = 200 * time.Millisecond
)

// Promotion is what the table keeps of a group's last change of primary, for
// newcomers and operators. No failover waits for it.
type Promotion struct {
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	By      string `json:"by"`
}

// Promotions records changes of primary in the table.
type Promotions struct {
	table Table
	sleep func(context.Context, time.Duration) error
}

// PromotionsOption changes Promotions at their construction.
type PromotionsOption func(*Promotions)

// WithSleep replaces the wait between attempts.
func WithSleep(sleep func(context.Context, time.Duration) error) PromotionsOption {
	return func(p *Promotions) { p.sleep = sleep }
}

// NewPromotions returns the record that the table keeps.
func NewPromotions(t Table, options ...PromotionsOption) *Promotions {
	p := &Promotions{table: t, sleep: Sleep}
	for _, o := range options {
		o(p)
	}
	return p
}

// Get returns a group's last recorded change. It returns a *NotFoundError
// if there is none.
func (p *Promotions) Get(ctx context.Context, group string) (Promotion, error) {
	_, promotion, err := p.read(ctx, group)
	return promotion, err
}

func (p *Promotions) read(ctx context.Context, group string) (Item, Promotion, error) {
	item, err := p.table.Get(ctx, promotionKeys+group)
	if err != nil {
		return Item{Key: promotionKeys + group}, Promotion{}, err
	}
	var promotion Promotion
	if err := json.Unmarshal(item.Value, &promotion); err != nil {
		return item, Promotion{}, errors.Wrap(err, "decode a promotion")
	}
	return item, promotion, nil
}

// Record keeps a change unless one of a later or the same term is kept. A
// lost answer is settled by reading again.
func (p *Promotions) Record(ctx context.Context, group string, next Promotion) error {
	backoff := promotionBackoff
	for n := 1; ; n++ {
		err := p.recordOnce(ctx, group, next)
		if err == nil || n == promotionAttempts {
			return err
		}
		if p.sleep(ctx, backoff) != nil {
			return err
		}
		backoff *= 2
	}
}

func (p *Promotions) recordOnce(ctx context.Context, group string, next Promotion) error {
	item, kept, err := p.read(ctx, group)
	var missing *NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil && kept.Term >= next.Term {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	return p.table.Put(ctx, Item{Key: item.Key, Version: item.Version + 1, Value: value})
}
