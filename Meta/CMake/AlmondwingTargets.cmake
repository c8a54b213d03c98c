# Functions that define libraries, programs and tests with the same compiler warnings and sanitizers.

set(ALMONDWING_SANITIZE "" CACHE STRING "Sanitizers to build with: empty, thread, or address,undefined")

add_library(almondwing_options INTERFACE)
target_compile_options(almondwing_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror
    -fno-omit-frame-pointer
    # Members that a designated initializer omits take the default values of the type.
    -Wno-missing-field-initializers)
if(ALMONDWING_SANITIZE)
    target_compile_options(almondwing_options INTERFACE -fsanitize=${ALMONDWING_SANITIZE} -fno-sanitize-recover=all -O1)
    target_link_options(almondwing_options INTERFACE -fsanitize=${ALMONDWING_SANITIZE})
    # g++ 12 has false positives of the first in instrumented code; -Wtsan reports fences, which TSan does not support.
    target_compile_options(almondwing_options INTERFACE -Wno-maybe-uninitialized -Wno-tsan)
endif()

find_program(CCACHE ccache)
if(CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

# Headers of a library are included as <LibName/File.h> through a separate include folder with a symbolic link to
# the library. Only targets that link a library can include its headers, which enforces the order of libraries in
# docs/design.md.
function(almondwing_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS;PRIVATE_LINKS" ${ARGN})
    set(include_folder "${CMAKE_BINARY_DIR}/include/${name}")
    file(MAKE_DIRECTORY "${include_folder}")
    file(CREATE_LINK "${CMAKE_CURRENT_SOURCE_DIR}" "${include_folder}/${name}" SYMBOLIC)
    if(ARG_SOURCES)
        add_library(${name} STATIC ${ARG_SOURCES})
        target_include_directories(${name} PUBLIC "${include_folder}")
        target_link_libraries(${name} PUBLIC ${ARG_LINKS} PRIVATE almondwing_options ${ARG_PRIVATE_LINKS})
    else()
        add_library(${name} INTERFACE)
        target_include_directories(${name} INTERFACE "${include_folder}")
        target_link_libraries(${name} INTERFACE ${ARG_LINKS})
    endif()
endfunction()

function(almondwing_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE almondwing_options ${ARG_LINKS})
endfunction()

# Defines the test program of a library, Test<LibName>, and registers it with CTest.
function(almondwing_test library)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    set(name "Test${library}")
    add_executable(${name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/Tests/TestMain.cpp)
    target_compile_definitions(${name} PRIVATE KNOWN_RED_FILE="${CMAKE_SOURCE_DIR}/KNOWN-RED.txt")
    target_link_libraries(${name} PRIVATE almondwing_options ${library} ${ARG_LINKS} cppunit rapidcheck)
    add_test(NAME ${library} COMMAND ${name})
    # A fixed seed makes property tests reproducible. A failing case is added to the test file as a fixed case.
    set(properties "seed=20261204")
    if(ALMONDWING_SANITIZE)
        # Instrumented code is about ten times slower, so fewer cases are run to stay within the CI time limit.
        string(APPEND properties " max_success=5")
    endif()
    # If TZ is unset, glibc rereads the time zone at each mktime call of glog, under a lock that ThreadSanitizer
    # does not see, and ThreadSanitizer reports a race inside glibc.
    set_tests_properties(${library} PROPERTIES ENVIRONMENT "RC_PARAMS=${properties};TZ=UTC" TIMEOUT 900
                                               LABELS library)
endfunction()
