Feature: A configuration file is checked as a whole, with line, field and remedy for each error
  Guards against a wrong file that is accepted, that is refused without a hint where and how to correct
  it, or that exhausts memory or time while it is parsed.

  Scenario Outline: The shipped deployments have their known sizes
    When the deployment file "<file>" is checked
    Then it declares <zones> zones, <engines> engines, <backends> back ends and <tenants> tenants
    And only the route "<method> <path>" of its paths may not be repeated

    Examples:
      | file      | zones | engines | backends | tenants | method | path    |
      | tsehay    | 3     | 6       | 3        | 8       | POST   | /orders |
      | startgrid | 4     | 9       | 4        | 8       | POST   | /lobby  |

  Scenario Outline: One wrong line of a file is refused with its line, field and remedy
    When the deployment file is checked with "<old>" replaced by "<new>"
    Then the only error is at the replaced line, field "<field>", saying "<message>"

    Examples: types
      | old                        | new                               | field                              | message                 |
      | format: 1                  | format: one                       | format                             | is not a whole number   |
      | format: 1                  | format: [1]                       | format                             | expected one value      |
      | zone: kirkos-hall          | zone:                             | engines[1].zone                    | empty                   |
      | zone: kirkos-hall          | zone: kirkos-hall\\n    zoen: x    | engines[1].zoen                    | unknown field           |
      | zone: kirkos-hall          | zone: kirkos-hall\\n    name: q    | engines[1].name                    | written twice           |
      | adapters: [captions, dedications] | adapters: captions         | models[0].adapters                 | expected a list         |
      | waste_weight: 1.0          | waste_weight: heavy               | routing.waste_weight               | is not a number         |
      | repeatable: true, deadline_s: 5} | repeatable: maybe, deadline_s: 5} | services[0].routes[1].repeatable | is not true or false |

    Examples: rules over several fields
      | old                        | new                               | field                              | message                 |
      | format: 1                  | format: 2                         | format                             | format 2 is not known   |
      | name: tsehay               | name: tse hay                     | name                               | is not a name           |
      | zone: kirkos-hall          | zone: lideta-hall                 | engines[1].zone                    | unknown zone            |
      | model: qalam               | model: qalem                      | engines[0].model                   | unknown model           |
      | name: qalam-2              | name: qalam-1                     | engines[1].name                    | is taken by             |
      | address: 127.0.0.1:21002   | address: 127.0.0.1:21001          | engines[1].address                 | is taken by             |
      | address: 127.0.0.1:21002   | address: 127.0.0.1:21101          | services[0].backends[0].address    | is taken by             |
      | address: 127.0.0.1:21002   | address: runner-2:21002           | engines[1].address                 | is not an address       |
      | address: 127.0.0.1:21002   | address: 127.0.0.1:65536          | engines[1].address                 | is not an address       |
      | min_ready_engines: 4       | min_ready_engines: 6              | models[0].min_ready_engines        | none can ever           |
      | load_timeout_s: 300        | load_timeout_s: 0                 | models[0].load_timeout_s           | out of range            |
      | weight: 4                  | weight: -1                        | tenants[0].weight                  | out of range            |
      | weight: 4                  | weight: inf                       | tenants[0].weight                  | out of range            |
      | num_holders: 3             | num_holders: 4                    | claims.num_holders                 | an even number          |
      | path_prefix: /roster       | path_prefix: roster               | services[0].routes[1].path_prefix  | not a path              |
      | {method: POST, path_prefix: /orders | {method: FETCH, path_prefix: /orders | services[0].routes[0].method | unknown method  |
      | {method: GET, path_prefix: /, | {method: POST, path_prefix: /orders/x, | services[0].routes[2]              | never reached           |

  Scenario: Every error is reported, not only the first
    When the deployment file is checked with a misspelt field, a wrong type and an unknown zone
    Then the errors name lines 3, 5 and 7 in this order

  Scenario Outline: A digest of an API key is checked
    When the second tenant's digest is <digest>
    Then the only error at its line says "<message>"

    Examples:
      | digest           | message              |
      | the first one's  | is taken by          |
      | in upper case    | not a SHA-256 digest |
      | cut short        | not a SHA-256 digest |
      | left out         | no API key           |

  Scenario Outline: A model whose engines serve one phase only is refused
    When every engine has the role "<role>"
    Then the error names the missing phase "<missing>"

    Examples:
      | role    | missing |
      | prefill | decode  |
      | decode  | prefill |

  Scenario Outline: Text that is not a plain YAML document is one error, within bounds
    When a file of <text> is checked
    Then the only error at line <line> says "<message>"

    Examples:
      | text                    | line | message                    |
      | nothing                 | 0    | the file is empty          |
      | an open bracket         | 1    | not valid YAML             |
      | a tab as indent         | 2    | not valid YAML             |
      | a null character        | 0    | not valid YAML             |
      | 100000 open brackets    | 1    | nested deeper              |
      | doubling aliases        | 1    | anchors and aliases        |
      | two documents           | 2    | a second document          |
      | five million characters | 0    | larger than                |
      | a list                  | 1    | expected fields            |
