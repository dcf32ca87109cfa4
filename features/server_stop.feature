Feature: Stopping the server closes idle connections without losing a request

  # Guards against a request that is lost when a node stops. The server lists its idle connections some
  # turns of its event loop before it closes them. In one of nine soaks, a request arrived on a
  # kept-alive connection at the end of the node's notice period, was sent on and ran, and its
  # connection was closed 19 ms later.
  # Of 200 requests sent some turns after the beginning of a stop, all that were sent 2 to 8 turns after
  # it were begun, and none was answered.
  Scenario Outline: Requests that arrive some turns after the beginning of a stop are answered or never begun
    Given a server with 20 kept-alive connections on the event loop "<loop>"
    When it is stopped, and a request arrives on each connection after each number of turns from 0 to 12
    Then each request that was begun is answered completely
    And some requests were begun, and some were not

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  # Guards against a report of an unexpected error for each connection that outlives the time for a stop.
  Scenario Outline: Connections that are cut at the end of the time for a stop are not reported as errors
    Given a server with 5 kept-alive connections on the event loop "<loop>"
    When it is stopped while each connection has a request that does not end
    Then the event loop reported no error

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |

  # Guards against a process that ends with an error, before it has flushed its log and ended what it relays,
  # because of one caller: hypercorn raises an error of its own as it cancels a connection with open HTTP/2
  # streams, and that error left the wait for all connections.
  Scenario Outline: An open stream of HTTP/2 at the end of the time for a stop does not end the server by an error
    Given a server on the event loop "<loop>" with an open stream of HTTP/2
    When it is stopped, and the time for the stop is over
    Then the server has ended without an error

    Examples:
      | loop    |
      | uvloop  |
      | asyncio |
