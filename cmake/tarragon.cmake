# Helpers that every module's build file uses.

# tarragon_library(NAME SOURCES... ): static library `tarragon_NAME` with its
# public headers under NAME/include.
function(tarragon_library name)
  add_library(tarragon_${name} STATIC ${ARGN})
  target_include_directories(tarragon_${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
endfunction()

# tarragon_test(NAME SOURCES...): the one test program of the library NAME.
function(tarragon_test name)
  if(NOT TARRAGON_TESTS)
    return()
  endif()
  add_executable(${name}_test ${ARGN} ${CMAKE_SOURCE_DIR}/core/tests/test_main.cc)
  target_link_libraries(${name}_test PRIVATE tarragon_${name} tarragon_core ${CPPUNIT_LIBRARY})
  target_include_directories(${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  add_test(NAME ${name}_test COMMAND ${name}_test)
endfunction()

# tarragon_asio_headers(TARGET): precompiles Asio for TARGET.
function(tarragon_asio_headers target)
  if(TARRAGON_PCH)
    target_precompile_headers(${target} PRIVATE <boost/asio.hpp> <string> <vector> <map> <memory> <functional>)
  endif()
endfunction()

# tarragon_beast_headers(TARGET): precompiles Asio, Beast and Boost.JSON for TARGET.
function(tarragon_beast_headers target)
  if(TARRAGON_PCH)
    target_precompile_headers(${target} PRIVATE <boost/asio.hpp> <boost/beast.hpp> <boost/json.hpp> <string> <vector> <map> <memory> <functional>)
  endif()
endfunction()
