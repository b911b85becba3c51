package platform

import (
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	dynamotypes "github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/go-faster/errors"
)

// The attributes of an item.
const (
	attributeKey     = "key"
	attributeVersion = "version"
	attributeValue   = "value"
)

// maxObject bounds an object that is read, in bytes.
const maxObject = 8 << 20

// AWSConfig says how to reach the platform's services.
type AWSConfig struct {
	Endpoint string
	Region   string
	KeyID    string
	Secret   string
	// Table and Bucket hold what the system keeps.
	Table  string
	Bucket string
}

func (a AWSConfig) config() aws.Config {
	return aws.Config{
		Region:      a.Region,
		Credentials: credentials.NewStaticCredentialsProvider(a.KeyID, a.Secret, ""),
		// The callers decide themselves what may be repeated.
		Retryer: func() aws.Retryer { return aws.NopRetryer{} },
	}
}

// DynamoTable is a Table in DynamoDB.
type DynamoTable struct {
	client *dynamodb.Client
	table  string
}

// NewDynamoTable returns the table that a names.
func NewDynamoTable(a AWSConfig) *DynamoTable {
	client := dynamodb.NewFromConfig(a.config(), func(o *dynamodb.Options) {
		if a.Endpoint != "" {
			o.BaseEndpoint = aws.String(a.Endpoint)
		}
	})
	return &DynamoTable{client: client, table: a.Table}
}

// Get implements Table.
func (t *DynamoTable) Get(ctx context.Context, key string) (Item, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(t.table), ConsistentRead: aws.Bool(true),
		Key: map[string]dynamotypes.AttributeValue{attributeKey: &dynamotypes.AttributeValueMemberS{Value: key}},
	})
	if err != nil {
		return Item{}, &UnavailableError{Service: "table service", Cause: err}
	}
	if len(out.Item) == 0 {
		return Item{}, &NotFoundError{Key: key}
	}
	item := Item{Key: key}
	if v, ok := out.Item[attributeVersion].(*dynamotypes.AttributeValueMemberN); ok {
		if item.Version, err = strconv.ParseUint(v.Value, 10, 64); err != nil {
			return Item{}, errors.Wrap(err, "read the item's version")
		}
	}
	if v, ok := out.Item[attributeValue].(*dynamotypes.AttributeValueMemberB); ok {
		item.Value = v.Value
	}
	return item, nil
}

// Put implements Table.
func (t *DynamoTable) Put(ctx context.Context, item Item) error {
	in := &dynamodb.PutItemInput{
		TableName: aws.String(t.table),
		Item: map[string]dynamotypes.AttributeValue{
			attributeKey:     &dynamotypes.AttributeValueMemberS{Value: item.Key},
			attributeVersion: &dynamotypes.AttributeValueMemberN{Value: strconv.FormatUint(item.Version, 10)},
			attributeValue:   &dynamotypes.AttributeValueMemberB{Value: item.Value},
		},
		ExpressionAttributeNames: map[string]string{"#v": attributeVersion},
		ConditionExpression:      aws.String("attribute_not_exists(#v)"),
	}
	if item.Version > 1 {
		in.ConditionExpression = aws.String("#v = :before")
		in.ExpressionAttributeValues = map[string]dynamotypes.AttributeValue{
			":before": &dynamotypes.AttributeValueMemberN{Value: strconv.FormatUint(item.Version-1, 10)},
		}
	}
	_, err := t.client.PutItem(ctx, in)
	var conflict *dynamotypes.ConditionalCheckFailedException
	switch {
	case errors.As(err, &conflict):
		return &ConflictError{Key: item.Key, Version: item.Version}
	case err != nil:
		return &UnavailableError{Service: "table service", Cause: err}
	}
	return nil
}

// S3Objects is an object store in S3.
type S3Objects struct {
	client *s3.Client
	bucket string
}

// NewS3Objects returns the object store that a names.
func NewS3Objects(a AWSConfig) *S3Objects {
	client := s3.NewFromConfig(a.config(), func(o *s3.Options) {
		if a.Endpoint != "" {
			o.BaseEndpoint = aws.String(a.Endpoint)
			o.UsePathStyle = true
		}
		o.RequestChecksumCalculation = aws.RequestChecksumCalculationWhenRequired
		o.ResponseChecksumValidation = aws.ResponseChecksumValidationWhenRequired
	})
	return &S3Objects{client: client, bucket: a.Bucket}
}

// Put implements Objects.
func (o *S3Objects) Put(ctx context.Context, key string, content []byte) error {
	_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
		Bucket: aws.String(o.bucket), Key: aws.String(key), Body: bytes.NewReader(content),
	})
	if err != nil {
		return &UnavailableError{Service: "object store", Cause: err}
	}
	return nil
}

// Get implements Objects.
func (o *S3Objects) Get(ctx context.Context, key string) ([]byte, error) {
	out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.bucket), Key: aws.String(key)})
	var missing *s3types.NoSuchKey
	switch {
	case errors.As(err, &missing):
		return nil, &NotFoundError{Key: key}
	case err != nil:
		return nil, &UnavailableError{Service: "object store", Cause: err}
	}
	defer out.Body.Close()
	content, err := io.ReadAll(io.LimitReader(out.Body, maxObject+1))
	if err != nil {
		return nil, &UnavailableError{Service: "object store", Cause: err}
	}
	if len(content) > maxObject {
		return nil, errors.Errorf("object %s is longer than %d bytes", key, maxObject)
	}
	return content, nil
}
