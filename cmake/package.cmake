# jasminespar_package(NAME [PURE] DEPENDS ...): defines the library of
# packages/NAME; an interface library if it has no source files.
#
# PURE marks a package of decision logic, which must not include I/O, HTTP, JSON
# or codec headers; tools/check-purity checks all its files.
function(jasminespar_package name)
  cmake_parse_arguments(ARG "PURE" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/src/*.cc)
  if(sources)
    add_library(jasminespar_${name} STATIC ${sources})
    target_include_directories(jasminespar_${name} PUBLIC
      ${CMAKE_CURRENT_SOURCE_DIR}/${name}/include)
    target_link_libraries(jasminespar_${name} PUBLIC ${ARG_DEPENDS})
  else()
    add_library(jasminespar_${name} INTERFACE)
    target_include_directories(jasminespar_${name} INTERFACE
      ${CMAKE_CURRENT_SOURCE_DIR}/${name}/include)
    target_link_libraries(jasminespar_${name} INTERFACE ${ARG_DEPENDS})
  endif()
endfunction()

# jasminespar_test(NAME [TIMEOUT SECONDS] DEPENDS ...): defines the Catch2 program
# test_NAME from tests/NAME/*.cc. TIMEOUT is the limit in ctest; default 300.
function(jasminespar_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  add_executable(test_${name} ${sources})
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS} Catch2::Catch2WithMain)
  target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  add_test(NAME ${name} COMMAND test_${name})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# jasminespar_benchmark(NAME DEPENDS ...): defines the program bench_NAME from
# benchmark/NAME.cc; ctest does not run it.
function(jasminespar_benchmark name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(bench_${name} ${CMAKE_CURRENT_SOURCE_DIR}/${name}.cc)
  target_link_libraries(bench_${name} PRIVATE ${ARG_DEPENDS})
endfunction()
