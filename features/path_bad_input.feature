Feature: Bad input gets a 4xx with a remedy, reaches no back end and uses bounded memory

  Guards against malformed, oversized, unauthorised or stalled requests that crash a node, occupy a
  permit or reach a back end, and against bodies that are read far past their limit.

  Scenario Outline: <input>
    Given a node with small limits
    When a caller sends "<input>"
    Then the answer is <status> with code "<code>" and run status "not_run"
    And no back end was reached and the node serves the next request

    Examples:
      | input                                  | status | code              |
      | an empty body                          | 400    | invalid_request   |
      | malformed JSON                         | 400    | invalid_request   |
      | JSON cut in the middle                 | 400    | invalid_request   |
      | a JSON array                           | 400    | invalid_request   |
      | a JSON string                          | 400    | invalid_request   |
      | JSON 100000 arrays deep                | 400    | invalid_request   |
      | JSON 100000 objects deep               | 400    | invalid_request   |
      | JSON one deeper than the limit         | 400    | invalid_request   |
      | deep JSON after an escaped quote       | 400    | invalid_request   |
      | invalid UTF-8 in a string              | 400    | invalid_request   |
      | invalid UTF-8 outside strings          | 400    | invalid_request   |
      | a lone surrogate byte sequence         | 400    | invalid_request   |
      | no model                               | 400    | invalid_request   |
      | a model that is a number               | 400    | invalid_request   |
      | an unknown model                       | 404    | unknown_model     |
      | an unknown adapter                     | 404    | unknown_model     |
      | no messages                            | 400    | invalid_request   |
      | empty messages                         | 400    | invalid_request   |
      | messages that are a string             | 400    | invalid_request   |
      | a message without content              | 400    | invalid_request   |
      | a message with a number as content     | 400    | invalid_request   |
      | a completion with a list as prompt     | 400    | invalid_request   |
      | an empty prompt                        | 400    | invalid_request   |
      | stream that is a string                | 400    | invalid_request   |
      | n that is two                          | 400    | invalid_request   |
      | max_tokens that is a string            | 400    | invalid_request   |
      | max_tokens that is true                | 400    | invalid_request   |
      | max_tokens of zero                     | 400    | invalid_request   |
      | max_tokens over the limit              | 400    | invalid_request   |
      | max_tokens beyond 64 bits              | 400    | invalid_request   |
      | a declared length over the limit       | 413    | body_too_large    |
      | a body over the limit in parts         | 413    | body_too_large    |
      | a body that never ends                 | 413    | body_too_large    |
      | half a body and then nothing           | 408    | request_timeout   |
      | a header flood                         | 431    | invalid_request   |
      | one huge header                        | 431    | invalid_request   |
      | no key                                 | 401    | unauthenticated   |
      | a wrong key                            | 401    | unauthenticated   |
      | the digest as key                      | 401    | unauthenticated   |
      | a basic authorization                  | 401    | unauthenticated   |
      | a request id with a line break         | 400    | invalid_request   |
      | a request id that is too long          | 400    | invalid_request   |
      | a deadline that is a word              | 400    | invalid_request   |
      | a deadline of zero                     | 400    | invalid_request   |
      | a deadline of a year                   | 400    | invalid_request   |
      | a repeatable that is a word            | 400    | invalid_request   |
      | a priority that is a word              | 400    | invalid_request   |
      | an idempotency key that is too long    | 400    | invalid_request   |
      | an empty idempotency key               | 400    | invalid_request   |
      | an unknown path                        | 404    | unknown_route     |
      | a GET of completions                   | 405    | unknown_route     |
      | a POST of models                       | 405    | unknown_route     |
      | an unknown service                     | 404    | unknown_service   |
      | a service without a name               | 404    | unknown_service   |
      | a service body over the limit          | 413    | body_too_large    |
      | half a service body and then nothing   | 408    | request_timeout   |

  Scenario: A caller that disconnects while sending its body gets no answer and no permit
    Given a node with small limits
    When a caller disconnects while sending its body
    Then no answer was sent
    And no back end was reached and the node serves the next request

  Scenario: Brackets in strings do not count as JSON depth
    Given a node with small limits
    When a caller sends 1000 brackets in a string
    Then the answer is complete

  Scenario: The depth check agrees with counting brackets of parsed JSON
    Then the depth check agrees with the depth of generated JSON
