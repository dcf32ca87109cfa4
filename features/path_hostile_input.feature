Feature: Hostile input over real sockets gets a 4xx or a closed connection, and the node stays in service

  Guards against raw HTTP/1.1 and HTTP/2 input that occupies a connection without end, makes the node
  read without bound, reaches an engine or stops the server.

  Scenario Outline: <input>
    When a hostile client sends "<input>" to a node behind a real server
    Then the hostile client gets "<outcome>"
    And the node read a bounded amount, reached no engine and serves the next request

    Examples: "closed" means that the connection ends without an answer
      | input                                       | outcome       |
      | headers over the callers' limit             | 431           |
      | a thousand headers                          | 431 or closed |
      | one header of a megabyte                    | 431 or closed |
      | headers without an end                      | 431 or closed |
      | a request line without an end               | 431 or closed |
      | half the headers and then nothing           | closed        |
      | nothing at all                              | closed        |
      | half a body and then nothing                | 408           |
      | half the headers and a half-closed socket   | 400 or closed |
      | half a body and a half-closed socket        | closed        |
      | a declared length over the limit            | 413           |
      | chunks without an end                       | 413 or closed |
      | a chunk header without an end               | 431 or closed |
      | a malformed chunk                           | 400 or closed |
      | random bytes                                | 400           |
      | the start of a TLS handshake                | 400           |
      | a header without a colon                    | 400           |
      | a negative length                           | 400           |
      | two lengths that differ                     | 400           |
      | a request for everything                    | 404           |
      | a websocket                                 | 403           |
      | twenty pipelined requests with a wrong key  | 401 x 20      |
      | a pipelined request after half a body       | 400           |
      | too many HTTP/2 streams                     | closed        |
      | too many HTTP/2 headers                     | closed        |
      | a huge HTTP/2 frame                         | closed        |
      | the HTTP/2 preface and then nothing         | closed        |
